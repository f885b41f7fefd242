package main

import (
	"fmt"
	"testing"

	"merlinpick/internal/faultlab/costly"
	"merlinpick/internal/faultlab/path"
)

// costlyCases are plays of costly clients beside sound ones, at limits within those of the operators' pages.
var costlyCases = []struct {
	kind    string
	clients int
	limits  path.Limits
	hanging int // servers
}{
	{"unsound", 1, path.Limits{Cores: 1, MemoryMB: 64, Sockets: 384}, 0},
	{"unsound", 12, path.Limits{Cores: 1, MemoryMB: 64, Sockets: 384}, 0},
	{"unsound-fields", 60, path.Limits{Cores: 1, MemoryMB: 32, Sockets: 256}, 0},
	{"unsound-fields", 12, path.Limits{Cores: 2, MemoryMB: 192, Sockets: 1024}, 0},
	{"chunks", 12, path.Limits{Cores: 1, MemoryMB: 64, Sockets: 384}, 0},
	{"discarded-bodies", 12, path.Limits{Cores: 1, MemoryMB: 64, Sockets: 384}, 0},
	{"resets", 12, path.Limits{Cores: 1, MemoryMB: 64, Sockets: 384}, 0},
	{"metrics", 12, path.Limits{Cores: 1, MemoryMB: 64, Sockets: 384}, 0},
	{"unsound-fields", 12, path.Limits{Cores: 1, MemoryMB: 64, Sockets: 384}, 9},
	{"sound", 60, path.Limits{Cores: 1, MemoryMB: 64, Sockets: 384}, 0},
	{"unsound-fields", 60, path.Limits{Cores: 0.25, MemoryMB: 32, Sockets: 256}, 9},
	{"unsound", 60, path.Limits{Cores: 0.25, MemoryMB: 32, Sockets: 256}, 9},
	{"empty-lines", 60, path.Limits{Cores: 0.25, MemoryMB: 32, Sockets: 256}, 9},
	{"metrics", 60, path.Limits{Cores: 1, MemoryMB: 64, Sockets: 384}, 0},
}

// TestCostlyClientsDelayNobody guards against late, refused or missing answers to sound requests while other clients
// make the proxy work at full speed without waiting for anybody.
func TestCostlyClientsDelayNobody(t *testing.T) {
	for _, c := range costlyCases {
		t.Run(fmt.Sprintf("%s-%d-cores-%v-hanging-%d", c.kind, c.clients, c.limits.Cores, c.hanging), func(t *testing.T) {
			kind, ok := costly.KindNamed(c.kind)
			if !ok {
				t.Fatalf("no kind %q", c.kind)
			}
			options := costly.Options{Kind: kind, Clients: c.clients, Hanging: c.hanging, Limits: c.limits, Program: proxyProgram, Dir: t.TempDir()}
			result, err := costly.Play(t.Context(), options)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(result)
			for _, problem := range result.Problems(options) {
				t.Error(problem)
			}
		})
	}
}
