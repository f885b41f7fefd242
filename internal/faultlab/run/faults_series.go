package run

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/process"
	"merlinpick/internal/faultlab/sleep"
)

const (
	signalSeriesSpan = 1500 * time.Millisecond // other signals follow a planned restart's SIGTERM within this
	floodDialTimeout = time.Second
	floodConnectGap  = 2 * time.Millisecond // between two connections of a flood
)

// signalAt is a signal that follows a planned restart's SIGTERM.
type signalAt struct {
	after  time.Duration
	signal syscall.Signal
}

// drawSignals draws n signals: SIGTERM again, or SIGHUP, which reloads the configuration in force.
func drawSignals(n int, r *rand.Rand) []signalAt {
	var series []signalAt
	for range n {
		next := signalAt{time.Duration(r.Int64N(int64(signalSeriesSpan))), syscall.SIGHUP}
		if r.IntN(2) == 0 {
			next.signal = syscall.SIGTERM
		}
		series = append(series, next)
	}
	return series
}

// sendSignals sends signals to a process while it runs.
func sendSignals(p *process.Process, series []signalAt) {
	for _, next := range series {
		go func() {
			select {
			case <-time.After(next.after):
				_ = p.Signal(next.signal) // the process may have just ended
			case <-p.Ended():
			}
		}()
	}
}

// floodConnections opens connections to a proxy and sends nothing on them, for the fault's duration. Connections that the proxy
// closes are not reopened. The proxy may close new connections of others unread meanwhile.
func (t *timeline) floodConnections(ctx context.Context, planned plan.PlannedFault, proxy *proxyUnderTest, at time.Duration) error {
	crowded := t.ref.BeginConnectionFlood(proxy.node.Name, time.Now())
	defer func() { crowded(time.Now()) }()
	holding, stop := context.WithDeadline(ctx, t.start.Add(at+planned.Duration))
	defer stop()
	var all sync.WaitGroup
	defer all.Wait()
	for i := 0; i < planned.Fault.IdleClients && sleep.For(holding, floodConnectGap); i++ {
		c, err := (&net.Dialer{Timeout: floodDialTimeout}).DialContext(holding, "tcp", proxy.listenAddress)
		if err != nil {
			continue // the proxy is down, or at its limit
		}
		all.Go(func() {
			unhook := context.AfterFunc(holding, func() { c.Close() })
			defer unhook()
			_, _ = io.Copy(io.Discard, c)
			c.Close()
		})
	}
	<-holding.Done()
	return nil
}
