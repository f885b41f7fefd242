package clientconn

import (
	"log/slog"
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	"merlinpick/internal/cpushare"
)

// TestConnectionGivesWayBetweenPiecesOfWork guards against late answers while many connections, each within its
// allowance, work without waiting for anybody: each kept the processor for up to 10 ms, and the event loop waited for all.
func TestConnectionGivesWayBetweenPiecesOfWork(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	turns := newTurns(nil, slog.New(slog.DiscardHandler))
	conn := turns.connect(server)
	for _, work := range []cpushare.Work{cpushare.HandleBytes, cpushare.HandleRequest} {
		var otherHasRun atomic.Bool
		go otherHasRun.Store(true)
		for range 2 { // the runtime may resume at once a goroutine that gives way, once in 61 times
			if throttled := turns.await(conn, work); throttled != 0 {
				t.Fatalf("throttled for %v within the allowance", throttled)
			}
		}
		if !otherHasRun.Load() {
			t.Errorf("work %d went on before a goroutine that was ready had run", work)
		}
	}
}
