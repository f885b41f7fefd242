package main

import (
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// The commands work on a cluster of one: it keeps its list across a kill, a snapshot is saved and restored as
// a new epoch with higher versions, and a damaged snapshot or log is rejected with the file's name.
func TestSingleMemberCommands(t *testing.T) {
	s := startCluster(t, 1)
	at := "--at=" + s.addresses[0]
	call := func(want int, args ...string) string {
		t.Helper()
		out, err := exec.Command(registryProgram, args...).CombinedOutput()
		got := 0
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			got = exit.ExitCode()
		}
		if got != want {
			t.Errorf("%v: exit %d, wanted %d: %s", args, got, want, out)
		}
		return string(out)
	}
	call(0, "nodos", "register", at, "n1", "127.0.0.1:1", "--lease=10m")
	call(1, "nodos", "register", at, "n 2", "127.0.0.1:1")
	call(0, "members", at)
	host, _, _ := net.SplitHostPort(s.addresses[0])
	if text, err := get(t.Context(), time.Second, "http://"+host+":9500/readyz"); err != nil || string(text) != "yes\n" {
		t.Errorf("readyz: %s, %v", text, err)
	}
	text, err := get(t.Context(), time.Second, "http://"+host+":9500/metrics")
	for _, metric := range []string{"roster_serving 1\n", "roster_leads 1\n", "roster_nodos 1\n",
		"roster_leases_overdue 0\n"} {
		if err != nil || !strings.Contains(string(text), metric) {
			t.Errorf("metrics lack %q: %v", metric, err)
		}
	}
	epoch, before, _, err := s.list(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(s.dir, "saved")
	call(0, "snapshot", "save", at, file)
	if out := call(0, "snapshot", "inspect", file); !strings.Contains(out, "1 nodos") {
		t.Error(out)
	}
	if err := s.processes[0].Kill(); err != nil {
		t.Fatal(err)
	}
	s.start(0)
	s.awaitServing()
	if currentEpoch, version, values, err := s.list(t.Context(), 0); err != nil || currentEpoch != epoch || version != before || len(values) != 1 {
		t.Errorf("after a kill: epoch %q, version %d, %v, %v; before %q, %d", currentEpoch, version, values, err, epoch, before)
	}
	call(0, "nodos", "drain", at, "n1")
	call(0, "nodos", "deregister", at, "n1")
	call(1, "nodos", "drain", at, "n1")
	call(0, "nodos", "register", at, "n2", "127.0.0.1:1", "--lease=10m")
	call(1, "snapshot", "restore", at, file) // without --yes
	call(0, "snapshot", "restore", at, "--yes", file)
	currentEpoch, version, values, err := s.list(t.Context(), 0)
	if err != nil || currentEpoch == epoch || version <= before+3 || values["n1"] == "" || values["n2"] != "" {
		t.Errorf("restored: epoch %q after %q, version %d after %d, %v, %v", currentEpoch, epoch, version, before, values, err)
	}
	if text, err = os.ReadFile(file); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, slices.Concat(text[:len(text)-1], []byte("]")), 0o600); err != nil {
		t.Fatal(err)
	}
	call(1, "snapshot", "inspect", file)
	call(1, "snapshot", "restore", at, "--yes", file)
	// SIGTERM is a graceful shutdown, and the directory is complete.
	if clean, err := s.processes[0].Terminate(waitTimeout); !clean || err != nil {
		t.Errorf("SIGTERM: clean shutdown is %v, %v", clean, err)
	}
	call(0, "check", "--config", s.path(0, ".toml"))
	if err := os.Truncate(filepath.Join(s.path(0, ""), "log.db"), 9000); err != nil {
		t.Fatal(err)
	}
	if out := call(1, "check", "--config", s.path(0, ".toml")); !strings.Contains(out, "log.db: damaged") {
		t.Error(out)
	}
	if out := call(2, "serve", "--config", s.path(0, ".toml")); !strings.Contains(out, "log.db: damaged") {
		t.Error(out)
	}
}
