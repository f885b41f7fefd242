package transport

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	joinFirst = 250 * time.Millisecond // between tries, while nobody is known; doubled from there
	joinMost  = 5 * time.Second
	joinLater = 15 * time.Second // while others are known and some seed or lost member is not
	joinAtMax = 3                // addresses that are tried at a time
	joinSay   = time.Minute      // a failure that lasts is said again
)

// join brings this member to its fleet, and split parts of one together again: as long as there is a seed, or a member
// that died, that is not among the living it is tried now and then. A start never waits for it.
func (n *Node) join(ctx context.Context) {
	pause := joinFirst
	var said time.Time
	for {
		tried, err := n.tryJoin(ctx)
		living, _ := n.members.count("")
		switch {
		case ctx.Err() != nil:
			return
		case living > 1:
			pause, said = joinLater, time.Time{}
		case pause == joinLater: // the last of the others has gone
			pause = joinFirst
		default:
			pause = min(2*pause, joinMost)
		}
		if err != nil && living == 1 && time.Since(said) >= joinSay {
			said = time.Now()
			n.cfg.Logger.Warn("fleet", "error", &JoinError{tried, err})
		}
		wait := time.NewTimer(pause/2 + rand.N(pause)) // half to thrice half: 300 members must not come together
		select {
		case <-wait.C:
		case <-n.joinNow:
			pause = joinFirst
		case <-ctx.Done():
		}
		wait.Stop()
	}
}

// tryJoin tries some addresses where a member may be that is not known to live; the error is the last one's if all
// failed.
func (n *Node) tryJoin(ctx context.Context) (tried []string, err error) {
	missing := n.members.missing(n.seeds, time.Now())
	rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	for _, addr := range missing[:min(joinAtMax, len(missing))] {
		if ctx.Err() != nil {
			return tried, nil
		}
		n.joinAttempts.Add(1)
		tried = append(tried, addr)
		if _, err = n.memberlist.Join([]string{addr}); err == nil {
			return tried, nil
		}
		n.joinFailures.Add(1)
	}
	return tried, err
}
