package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// After an outage of a local agent, a client must receive the agent's list within the shortest drain grace,
// 0.5 s, since that list counts as known at once. The agent never answers the calls that it accepted during
// the outage.
func TestAgentIsHeardSoonAfterOutage(t *testing.T) {
	const maxDelay = 500 * time.Millisecond
	for _, outage := range []time.Duration{700 * time.Millisecond, 1900 * time.Millisecond, 3 * time.Second,
		5300 * time.Millisecond, 8 * time.Second, 21 * time.Second} {
		t.Run(fmt.Sprint(outage), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := New(Config{Source: Source{Address: "127.0.0.1:1"}, LocalAgent: true, Seed: 7,
					Logger: slog.New(slog.DiscardHandler)})
				c.SetInitialList(&List{Version: 5, Snapshot: true})
				start := time.Now()
				c.http.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
					if at := time.Since(start); at > 2*time.Second && at < 2*time.Second+outage {
						<-r.Context().Done()
						return nil, r.Context().Err()
					}
					return okResponse(`{"index":5,"snapshot":false,"endpoints":[]}`), nil
				})
				ctx, stop := context.WithCancel(t.Context())
				go c.Run(ctx)
				var receivedAt time.Duration
				for outageEnd := 2*time.Second + outage; receivedAt < outageEnd; {
					<-c.Updates()
					time.Sleep(20 * time.Millisecond) // the fake answers every watch at once
					receivedAt = time.Since(start)
				}
				if delay := receivedAt - 2*time.Second - outage; delay > maxDelay {
					t.Errorf("first update %v after the end of the outage", delay)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// A client waits for a local agent that takes 3 s to answer.
func TestSlowAgentIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Config{Source: Source{Address: "127.0.0.1:1"}, LocalAgent: true, Seed: 7,
			Logger: slog.New(slog.DiscardHandler)})
		c.SetInitialList(&List{Version: 5, Snapshot: true})
		c.http.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
			select {
			case <-time.After(3 * time.Second):
				return okResponse(`{"index":5,"snapshot":false,"endpoints":[]}`), nil
			case <-r.Context().Done():
				return nil, r.Context().Err()
			}
		})
		ctx, stop := context.WithCancel(t.Context())
		go c.Run(ctx)
		start := time.Now()
		<-c.Updates()
		if took := time.Since(start); took > 4*time.Second {
			t.Errorf("first update after %v", took)
		}
		stop()
		synctest.Wait()
	})
}
