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
}{
	{"unsound", 1, path.Limits{Cores: 1, MemoryMB: 64, Sockets: 384}},
	{"unsound", 12, path.Limits{Cores: 1, MemoryMB: 64, Sockets: 384}},
	{"unsound-fields", 60, path.Limits{Cores: 1, MemoryMB: 32, Sockets: 256}},
	{"unsound-fields", 12, path.Limits{Cores: 2, MemoryMB: 192, Sockets: 1024}},
	{"chunks", 12, path.Limits{Cores: 1, MemoryMB: 64, Sockets: 384}},
	{"discarded-bodies", 12, path.Limits{Cores: 1, MemoryMB: 64, Sockets: 384}},
	{"resets", 12, path.Limits{Cores: 1, MemoryMB: 64, Sockets: 384}},
	{"metrics", 12, path.Limits{Cores: 1, MemoryMB: 64, Sockets: 384}},
	{"metrics", 60, path.Limits{Cores: 1, MemoryMB: 64, Sockets: 384}},
}

// TestCostlyClientsDelayNobody guards against late, refused or missing answers to sound requests while other clients
// make the proxy work at full speed without waiting for anybody.
func TestCostlyClientsDelayNobody(t *testing.T) {
	for _, c := range costlyCases {
		t.Run(fmt.Sprintf("%s-%d-cores-%v", c.kind, c.clients, c.limits.Cores), func(t *testing.T) {
			kind, ok := costly.KindNamed(c.kind)
			if !ok {
				t.Fatalf("no kind %q", c.kind)
			}
			options := costly.Options{Kind: kind, Clients: c.clients, Limits: c.limits, Program: proxyProgram, Dir: t.TempDir()}
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
