package handover

import (
	"log/slog"
	"net"
	"testing"
	"time"
)

// TestAllExecutionsReachOtherProcess guards against a request that runs at both processes of an upgrade, since the
// predecessor remembers more than may wait for the connection. It checks updates in both directions, too.
func TestAllExecutionsReachOtherProcess(t *testing.T) {
	const remembered, timeout = 3 * maxPendingExecutions, 20 * time.Second
	dir := t.TempDir()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	fromSuccessor := make(chan Execution, 1)
	server, err := Start(dir, l.(*net.TCPListener), Hooks{
		ExportState:           func() (State, error) { return State{SharesExecutions: true}, nil },
		SuccessorDisconnected: func() {},
		SuccessorServing: func() (all []uint64) {
			for id := range uint64(remembered) {
				all = append(all, id)
			}
			return all
		},
		Receiver: Receiver{Executed: func(e Execution) { fromSuccessor <- e }},
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	successor := ConnectPredecessor(dir, slog.New(slog.DiscardHandler))
	if successor == nil {
		t.Fatal("the successor found no predecessor")
	}
	defer successor.Listener.Close()
	fromPredecessor, ended := make(chan Execution, remembered+1), make(chan struct{})
	go func() {
		defer close(ended)
		successor.AwaitExit(Receiver{Executed: func(e Execution) { fromPredecessor <- e }})
	}()
	defer func() { successor.Close(); <-ended }()
	if err := successor.NotifyServing(); err != nil {
		t.Fatal(err)
	}
	receive := func(updates chan Execution, want Execution) {
		t.Helper()
		select {
		case got := <-updates:
			if got != want {
				t.Fatalf("got %+v, want %+v", got, want)
			}
		case <-time.After(timeout):
			t.Fatalf("%+v did not arrive within %v", want, timeout)
		}
	}
	for id := range uint64(remembered) {
		receive(fromPredecessor, Execution{ID: id, Executed: true})
	}
	server.ShareExecution(Execution{ID: remembered})
	receive(fromPredecessor, Execution{ID: remembered})
	successor.ShareExecution(Execution{ID: 1, Executed: true})
	receive(fromSuccessor, Execution{ID: 1, Executed: true})
}
