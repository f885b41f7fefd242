package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"
)

// The platform's list has one clock for what a proxy counts as told, whether it heard it or not (STANDING.md of the
// operators' kit, and the protocol page; the strictest sentence goes first): a change counts as told 6 s after discovery
// had it and could be reached, whatever calls failed, were refused or given up meanwhile. This client is the one owner of
// the time between calls, here in constants: the settings' asking time, of seconds or minutes, has no part in it.
//
// The worst case for each way, from the instant of the change (after a time of trouble: from the instant in which calls are
// answered in their turn again), with H + S = 1.2 s, the longest hold and watchSlack; B = 2.3 s, the longest beat; Q = 3 s,
// that after a 503; P1 to P4 = 0.1, 0.2, 0.4, 0.8 s, the pauses; and W, the longest that discovery has a call wait for its
// turn (2 s and 3 s at the sites known; the call fails then); L and T = 2.5 s and 3.5 s, the periods of a long queue (T grows
// with the fleet: pace.go):
//
//	way                                        sum                      W = 2 s  W = 3 s
//	a watch is open                            as written                  0        0
//	silent, also from its first byte           H + S + W                   3.2      4.2
//	answered byte by byte                      H + S + W                   3.2      4.2
//	garbled                                    W                           2        3
//	reset                                      P1 + W                      2.1      3.1
//	silent, then 503 or reset                  H + S + P1 + W              3.3      4.3
//	silent, then 503 three times               H + S + P1 + P2 + P3 + W    3.9      4.9
//	reset, then 503 three times                P1 + P2 + P3 + P4 + W       3.5      4.5
//	silent, then accepted and never answered   H + S + B + W               5.5      6.5 *
//	silent, then answered byte by byte         H + S + B + W               5.5      6.5 *
//	silent, then garbled                       H + S + W + W               5.2      7.2 *
//	after a time of 503 or resets, each at once L + W                      4.5      5.5
//	  each after a wait of W, 2 to 4 of them   T + W                       5.5      10 *
//	  one such                                 settle + T + W              8.5 *    8.5 *
//	after a time without whole answers         B + W                       4.3      5.3
//	  that began with a 503                    Q + W                       5.0      6.0
//	after a time of garbled answers            W + P4 + W                  4.8      6.8 *
//	moved by SIGHUP, with a call out           W                           2        3
//	moved to versions that lie below           W + firstHold + W           4.1      6.1 *
//	pushed (no turn; pauses of 0.2 s at most; H + S = 0.75 s, and a beat of 0.4 s)
//	  silent                                   H + S                       0.75
//	  silent, then never answered              H + S + beat                1.15
//	  down or deaf, then back                  0.2, beat                   0.2, 0.4
//
// Those marked * are over 6 s only where discovery has a call wait 3 s and two calls in a row came to nothing, each of
// which cost that time (10 s is measured: a wait in vain, and a call beside it); and where the trouble ends within settle
// after the first call that waited in vain and the queue is long then too. What the network takes comes on top. A fleet
// whose watches all end at once needs as many turns:
// 300 of 18 ms, as measured in the bench, are 5.4 s of discovery's time, and no client's doing makes them less. What can
// be had is that discovery is not idle meanwhile, and that few take two turns: fleet_test.go has 0.1 s left
// there where the queue holds no more than W, asserts 0.05, and asserts 0.4 s for all other ways. Where it holds 5 s of
// turns (the bench, as measured) and 300 come at once, 110 are answered and the rest wait in vain: collapse_test.go.
//
// A process that a change reaches late, by a starred row or otherwise, does not route by its list alone meanwhile: calls then go
// to servers that kept taking calls (logic/staleness.go), and a new process waits for its first answer (proxy.awaitSync).
//
// While no list can be had nothing is made up: the servers that were last known stay as they were, for as long as it
// takes, and requests are served by them; an answer of which any part makes no sense is no list (Parse). What is learned of
// servers from their answers (bans, counts) goes on.
//
// What it costs discovery is bounded too, since it answers calls in turn, and none that waited longer than W. A watch that
// goes on takes no turn; a new one takes one, and a whole list as many as it has lines for: a fleet that has lost its
// watches and asks for whole lists is turned away for tens of seconds. So whatever ended a watch, the next
// call goes on from the version that is held, or that the proxy's configuration came with (Known), and brings only what
// changed since. The whole list is asked for where no version is held, once after an answer that makes no sense, and after a
// version that went back. Another address may be another service whose versions say something else: one that is behind
// shows at its first answer, the rest within checkSpread of checkLeast, when the whole list is asked for once.
const (
	watchHoldMin    = 500 * time.Millisecond // a watch that goes on may wait for news at least so long, and
	watchHoldJitter = 300 * time.Millisecond // up to this much more, so that a fleet's watches neither begin nor end together
	watchSlack      = 400 * time.Millisecond // beyond that, until a watch is taken for silent

	// A new call waits for its turn. After a beat it gets another beside it, since it may be lost; two are out at most, so
	// one may wait twice as long. Once discovery has turned a call away its queue is long: with a shorter beat a fleet would
	// stand in it twice, and need 7 s where 5.5 do. Beats differ so that calls that were lost together do not leave
	// discovery idle together.
	pollHold           = 100 * time.Millisecond // after its turn, for news
	hedgeDelayMin      = 1750 * time.Millisecond
	hedgeDelayJitter   = 500 * time.Millisecond
	firstHedgeDelayMin = 2020 * time.Millisecond // the first of a call: over the W of 2 s, at the end of which it may fail by itself
	hedgeDelayMax      = hedgeDelayMin + hedgeDelayJitter
	busyHedgeDelayMin  = 2600 * time.Millisecond // from the first 503 on until an answer

	// An agent that the list is pushed to has one caller and no queue, and may be deaf for a while to all that came meanwhile.
	// One call waits for its answer as long as others do; beside it another is made anew each beat.
	agentHedgeDelayMin = 300 * time.Millisecond
	agentJitter        = 100 * time.Millisecond
	agentWatchHold     = 400 * time.Millisecond // of its watches, in place of holdLeast, pushedSpread and watchSlack
	agentWatchSlack    = 250 * time.Millisecond

	registryCallTimeout = 3 * time.Second  // for an answer of a member that need not wait
	resyncDelayMin      = 30 * time.Second // after a move
	resyncDelayJitter   = 90 * time.Second // and up to this much more, so that a fleet does not ask together
)

// A silentError is a watch that gave no whole answer by the end of its wait and watchSlack more.
type watchTimeoutError struct {
	hold time.Duration
	err  error
}

func (e *watchTimeoutError) Error() string {
	return fmt.Sprintf("a watch that may wait %v fell silent; it is opened anew: %v", e.hold, e.err)
}
func (e *watchTimeoutError) Unwrap() error { return e.err }

// A versionError is an answer that does not follow on the version that is held. Nothing of it is taken.
type versionRegressedError struct{ held, received int64 }

func (e *versionRegressedError) Error() string {
	return fmt.Sprintf("version went back from %d to %d; the whole list is asked for", e.held, e.received)
}

// watched is what a client of one address knows. It is Run's alone.
type platformState struct {
	version              int64     // that is held; negative: none
	watching             bool      // the last call was answered: a watch now goes on from it
	rejectedSinceSuccess bool      // a call was turned away since one was answered
	watchTimedOut        bool      // the last call was a watch that fell silent
	resyncAt             time.Time // the whole list is asked for then; zero: not

	rejectedAfter    time.Duration // that the last 503 took to come
	longestRejection time.Duration // that a call waited in vain
	failedPolls      int           // failed in a row, from the first on that shows that the queue is long
	queueTimeouts    int           // of these, that waited in vain

	lastRejected bool // the last call was answered, with a 503
	synced       bool // discovery has answered a call with a list
}

// watch watches at one address until the context ends. The next watch follows an answer at once, lest changes in between
// count as told late; so does a new one after a watch that fell silent, and the first call after one that was garbled.
func (c *Client) followPlatform(ctx context.Context) {
	for failed, nonsense := 0, false; ctx.Err() == nil; {
		whole := c.version < 0 || nonsense || c.watching && !c.resyncAt.IsZero() && !time.Now().Before(c.resyncAt)
		going := c.watching && !whole
		list, err := c.callPlatform(ctx, going, whole)
		if ctx.Err() != nil {
			return
		}
		nonsense, c.watchTimedOut = false, false
		if whole && err == nil {
			c.resyncAt = time.Time{}
		} else if whole && !c.resyncAt.IsZero() {
			c.scheduleResync()
		}
		if err == nil && !list.Full && list.Version < c.version {
			err = &versionRegressedError{c.version, list.Version}
		}
		if c.watching = err == nil; c.watching {
			c.synced = true
			c.lastSuccess.Store(int64(max(1, time.Since(c.startedAt))))
			c.version, c.rejectedSinceSuccess, c.failedPolls, c.queueTimeouts, failed = list.Version, false, 0, 0, 0
			c.publish(Update{list})
			continue
		}
		c.failures.Add(1)
		c.log.Warn("discovery", "address", c.source, "failed_in_a_row", failed+1, "error", err)
		var fell *watchTimeoutError
		var garbled *malformedListError
		var back *versionRegressedError
		switch {
		case errors.As(err, &fell): // only one that goes on: no sign yet that discovery is busy
			c.watchTimedOut = true
			continue
		case errors.As(err, &back): // it answers, and has another line of versions
			c.version = -1
			continue
		case errors.As(err, &garbled):
			if nonsense = !whole; failed == 0 {
				failed++
				continue
			}
		}
		failed++
		c.noteUnreachable(err)
		c.lastRejected = errors.Is(err, errUnavailable)
		if c.queueIsOverloaded(err, failed) {
			c.sleep(ctx, c.nextPollDelay())
			continue
		}
		c.sleep(ctx, c.retryBackoff(failed))
	}
}

// checkLater has the whole list asked for when that hurts nobody.
func (c *Client) scheduleResync() {
	c.resyncAt = time.Now().Add(resyncDelayMin + c.randomDelay(resyncDelayJitter))
}

// call asks for what is newer than the version that is held, or for the whole list.
func (c *Client) callPlatform(ctx context.Context, going, whole bool) (*List, error) {
	u := "http://" + c.source.Address + "/catalog/members"
	if whole {
		return c.hedgedCall(ctx, u)
	}
	hold, slack := pollHold, watchSlack
	switch {
	case going && c.cfg.Pushed:
		hold, slack = agentWatchHold+c.randomDelay(agentJitter), agentWatchSlack
	case going:
		hold = watchHoldMin + c.randomDelay(watchHoldJitter)
	}
	u += "?from=" + strconv.FormatInt(c.version, 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
	if !going {
		return c.hedgedCall(ctx, u)
	}
	c.rejectedAfter = 0 // it waits for news, not for its turn
	list, err := c.fetchOnce(ctx, u, hold+slack)
	if errors.Is(err, context.DeadlineExceeded) {
		err = &watchTimeoutError{hold, err}
	}
	return list, err
}

// first makes a call that waits for its turn, and each beat another beside it while none is answered. The oldest is given
// up after two beats. The first answer counts; it fails when all that are out have.
func (c *Client) hedgedCall(ctx context.Context, url string) (*List, error) {
	type reply struct {
		list    *List
		err     error
		took    time.Duration
		patient bool
	}
	c.rejectedAfter = 0
	ctx, stop := context.WithCancel(ctx)
	replies := make(chan reply)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer stop()
	waiting := false // a call that waits for as long as it takes is out
	for out := 0; ; {
		length, patience := c.hedgeTiming(out == 0)
		patient := !c.cfg.Pushed || !waiting
		if !patient {
			patience = length
		}
		beat := time.After(length)
		waiting = waiting || patient
		out++
		calls.Go(func() {
			start := time.Now()
			list, err := c.fetchOnce(ctx, url, patience)
			select {
			case replies <- reply{list, err, time.Since(start), patient}:
			case <-ctx.Done():
			}
		})
		for late := false; !late; {
			select {
			case r := <-replies:
				if errors.Is(r.err, errUnavailable) {
					c.rejectedSinceSuccess, c.rejectedAfter = true, r.took
				}
				waiting = waiting && !r.patient
				if out--; r.err == nil || out == 0 && (patient || !errors.Is(r.err, context.DeadlineExceeded)) {
					return r.list, r.err
				}
				c.log.Warn("discovery", "address", c.source, "error", r.err)
			case <-beat:
				late = true
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
}

// beat is how long after a call another is made beside it, and how long a call is waited for: two beats, so that two are out at
// most.
func (c *Client) hedgeTiming(first bool) (length, patience time.Duration) {
	switch {
	case c.cfg.Pushed:
		return agentHedgeDelayMin + c.randomDelay(agentJitter), 2 * hedgeDelayMax
	case c.rejectedSinceSuccess:
		length = busyHedgeDelayMin + c.randomDelay(hedgeDelayJitter)
	case first && !c.watchTimedOut:
		length = firstHedgeDelayMin + c.randomDelay(hedgeDelayMax-firstHedgeDelayMin)
	default:
		length = hedgeDelayMin + c.randomDelay(hedgeDelayJitter)
	}
	return length, 2 * length
}

// getOnce is get without net/http's own second try after a kept connection broke: that would be a new call, which waits for
// its turn, with a watch's patience.
func (c *Client) fetchOnce(ctx context.Context, url string, patience time.Duration) (*List, error) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	conns := 0
	return c.countedCall(ctx, url, func() (*List, error) {
		list, err := c.fetch(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
			if conns++; conns > 1 {
				stop(errConnectionLost)
			}
		}}), url, patience)
		if err != nil && context.Cause(ctx) == errConnectionLost {
			err = errConnectionLost
		}
		return list, err
	})
}

var errConnectionLost = errors.New("the connection to discovery broke under a call; it is made anew")
