package discovery

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// The platform's list has one clock for what a proxy counts as told, whether it heard it or not (STANDING.md of the
// operators' kit, and the protocol page). Each way that the list comes, the instant from which a change counts, and what
// this client does so as to have it before then:
//
//   - A watch or an answer: when it is written. It is applied before anything else is sent.
//   - Asked for, and the next watch begins within 200 ms of the last answer: as written. The next follows at once.
//   - A watch that falls silent at S, begun at B with a hold of H: S + 6 s, or B + H + 2 s if that is later. S >= B. One
//     that goes on from another is given up at B + H + watchSlack: what is left to hear the news otherwise is 1.9 s for
//     the longest hold here, 3.1 s for the shortest, and half a hold more on average (1.5 s for any of 4 s or more). One
//     that is new may wait turnWait for its turn before its hold begins; so its hold is short, and 3.2 s are left.
//   - No watch (after 503, a reset, a discovery that is down, or at a start): a change counts as told the settings' asking
//     time after it was made, from the last call on; four times that after a call that failed. The module asks again long
//     before.
//   - Moved by SIGHUP: 4 s after it. The new address is asked at once, from the version held: 340 proxies that asked it for
//     whole lists waited for up to 20 s.
//   - Pushed (no subscription): from the first moment. The first call waits for nobody.
//
// What it costs discovery is bounded too, since it answers calls in turn and turns away at once what would wait longer
// than turnWait. A watch that goes on takes no turn; a new one takes one, and a whole list as many as it has lines for: a
// fleet that has lost its watches and asks for whole lists is turned away for tens of seconds. So whatever ended a watch,
// the next call goes on from the version that is held, or that the proxy's configuration came with (Known), and brings
// only what changed since. The whole list is asked for where no version is held, and after an answer that makes no sense or
// a version that went back. Another address may be another service whose versions say something else: one that is behind
// shows at its first answer, the rest within checkSpread of checkLeast, when the whole list is asked for once.
const (
	holdLeast    = 2400 * time.Millisecond // a watch that goes on may wait for news at least so long, and
	holdSpread   = 1200 * time.Millisecond // up to this much more, so that a fleet's watches neither begin nor end together
	firstHold    = 300 * time.Millisecond  // a new one
	turnWait     = 2 * time.Second         // for a call's turn
	watchSlack   = 500 * time.Millisecond  // beyond that, until a watch is taken for silent
	listPatience = 3 * time.Second         // for an answer that need not wait
	checkLeast   = 30 * time.Second        // after a move
	checkSpread  = 90 * time.Second        // and up to this much more, so that a fleet does not ask together
	retryFirst   = 50 * time.Millisecond   // after a failed call
	retryMost    = 500 * time.Millisecond  // at most
)

// A silentError is a watch that gave no sign by the end of its wait and watchSlack more.
type silentError struct {
	hold time.Duration
	err  error
}

func (e *silentError) Error() string {
	return fmt.Sprintf("a watch that may wait %v fell silent; it is opened anew: %v", e.hold, e.err)
}
func (e *silentError) Unwrap() error { return e.err }

// A versionError is an answer that does not follow on the version that is held. Nothing of it is taken.
type versionError struct{ from, to int64 }

func (e *versionError) Error() string {
	return fmt.Sprintf("version went back from %d to %d; the whole list is asked for", e.from, e.to)
}

// watched is what a client of one address knows. It is Run's alone.
type watched struct {
	version int64     // that is held; negative: none
	going   bool      // the last call was answered: a watch now goes on from it
	check   time.Time // the whole list is asked for then; zero: not
}

// watch watches at one address until the context ends. With wait, the first call awaits the module's word, as it does
// after each call that failed if there is a subscription; a watch that only fell silent is opened anew at once. The next
// watch follows its answer at once, lest changes in between count as told late.
func (c *Client) watch(ctx context.Context, subscribe, wait bool) {
	pause, silent := retryFirst, false
	for subscribed := !wait; ctx.Err() == nil; {
		if subscribe && !subscribed {
			select {
			case <-c.asked:
			case <-ctx.Done():
				return
			}
		}
		whole := c.version < 0 || c.going && !c.check.IsZero() && !time.Now().Before(c.check)
		list, err := c.call(ctx, whole)
		if ctx.Err() != nil {
			return
		}
		if whole && err == nil {
			c.check = time.Time{}
		} else if whole && !c.check.IsZero() {
			c.checkLater()
		}
		if err == nil && !list.Full && list.Index < c.version {
			err = &versionError{c.version, list.Index}
		}
		if err == nil {
			c.version, c.going, pause, silent, subscribed = list.Index, true, retryFirst, false, true
			c.tell(ctx, News{list})
			continue
		}
		c.going = false
		c.log.Warn("discovery", "error", err)
		var fell *silentError
		if errors.As(err, &fell) && !silent {
			silent, subscribed = true, true
			continue
		}
		silent = false
		var garbled *garbledError
		var back *versionError
		if errors.As(err, &back) { // it answers, and has another line of versions
			c.version, subscribed = -1, true
			continue
		}
		if errors.As(err, &garbled) {
			c.version = -1
		}
		subscribed = false
		if subscribe {
			c.tell(ctx, News{}) // the module says when to ask again
			continue
		}
		c.wait(ctx, pause/2+c.draw(pause/2))
		pause = min(2*pause, retryMost)
	}
}

// checkLater has the whole list asked for when that hurts nobody.
func (c *Client) checkLater() { c.check = time.Now().Add(checkLeast + c.draw(checkSpread)) }

// call asks for what is newer than the version that is held, or for the whole list.
func (c *Client) call(ctx context.Context, whole bool) (*List, error) {
	u := "http://" + c.at.Address + "/catalog/members"
	if whole {
		return c.get(ctx, u, listPatience)
	}
	hold, patience := firstHold, turnWait+firstHold+watchSlack
	if c.going {
		hold = holdLeast + c.draw(holdSpread)
		patience = hold + watchSlack
	}
	u += "?from=" + strconv.FormatInt(c.version, 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
	list, err := c.get(ctx, u, patience)
	if errors.Is(err, context.DeadlineExceeded) {
		err = &silentError{hold, err}
	}
	return list, err
}
