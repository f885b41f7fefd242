package run

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"merlinpick/internal/faultlab/costly"
	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/process"
	"merlinpick/internal/faultlab/sleep"
)

const (
	signalSeriesSpan = 1500 * time.Millisecond // further signals follow a restart's SIGTERM within this time
	floodDialTimeout = time.Second
	floodConnectGap  = 2 * time.Millisecond // between two connections of a flood
)

// delayedSignal is a signal that follows a planned restart's SIGTERM after a delay.
type delayedSignal struct {
	after  time.Duration
	signal syscall.Signal
}

// drawSignals draws n signals: SIGTERM again, or SIGHUP, which reloads the unchanged configuration.
func drawSignals(n int, r *rand.Rand) []delayedSignal {
	var series []delayedSignal
	for range n {
		next := delayedSignal{time.Duration(r.Int64N(int64(signalSeriesSpan))), syscall.SIGHUP}
		if r.IntN(2) == 0 {
			next.signal = syscall.SIGTERM
		}
		series = append(series, next)
	}
	return series
}

// sendSignals sends signals to a process while it runs.
func sendSignals(p *process.Process, series []delayedSignal) {
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

// floodConnections opens connections to a proxy and sends nothing on them for the fault's duration. It does
// not reopen connections that the proxy closes. Meanwhile the proxy may close new connections of other
// clients without reading them.
func (t *timeline) floodConnections(ctx context.Context, planned plan.PlannedFault, proxy *proxyUnderTest,
	at time.Duration) error {
	endFlood := t.ref.BeginConnectionFlood(proxy.node.Name, time.Now())
	defer func() { endFlood(time.Now()) }()
	flood, stop := context.WithDeadline(ctx, t.start.Add(at+planned.Duration))
	defer stop()
	var all sync.WaitGroup
	defer all.Wait()
	for i := 0; i < planned.Fault.Clients && sleep.For(flood, floodConnectGap); i++ {
		c, err := (&net.Dialer{Timeout: floodDialTimeout}).DialContext(flood, "tcp", proxy.listenAddress)
		if err != nil {
			continue // the proxy is down, or at its connection limit
		}
		all.Go(func() {
			cancelClose := context.AfterFunc(flood, func() { c.Close() })
			defer cancelClose()
			_, _ = io.Copy(io.Discard, c)
			c.Close()
		})
	}
	<-flood.Done()
	return nil
}

// runCostlyClients runs clients that send requests which reach no server, at full speed, for the fault's duration. No
// answer to another client may be late meanwhile.
func (t *timeline) runCostlyClients(ctx context.Context, planned plan.PlannedFault, proxy *proxyUnderTest,
	at time.Duration, r *rand.Rand) error {
	endSpan := t.ref.BeginCostlySpan(proxy.node.Name, time.Now())
	defer func() { endSpan(time.Now()) }()
	running, stop := context.WithDeadline(ctx, t.start.Add(at+planned.Duration))
	defer stop()
	var all sync.WaitGroup
	for range planned.Fault.Clients {
		kind := costly.Draw(r)
		all.Go(func() { kind.Run(running, proxy.listenAddress, nil) })
	}
	all.Wait()
	return nil
}
