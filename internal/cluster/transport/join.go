package transport

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	firstJoinInterval = 250 * time.Millisecond // while no other member is known; doubled after each attempt
	maxJoinInterval   = 5 * time.Second
	rejoinInterval    = 15 * time.Second // while others are known, but a seed or a lost member is not live
	joinFanout        = 3                // addresses per attempt
	joinLogInterval   = time.Minute      // shortest time between log lines about a lasting failure
)

// joinLoop joins this member to its cluster and heals partitions: while a seed or a lost member is not live,
// its address is tried again at intervals.
func (n *Node) joinLoop(ctx context.Context) {
	interval := firstJoinInterval
	var lastLogged time.Time
	for {
		attempted, err := n.tryJoin(ctx)
		liveMembers, _ := n.members.liveCounts("")
		switch {
		case ctx.Err() != nil:
			return
		case liveMembers > 1:
			interval, lastLogged = rejoinInterval, time.Time{}
		case interval == rejoinInterval: // all other members are gone
			interval = firstJoinInterval
		default:
			interval = min(2*interval, maxJoinInterval)
		}
		if err != nil && liveMembers == 1 && time.Since(lastLogged) >= joinLogInterval {
			lastLogged = time.Now()
			n.cfg.Logger.Warn("cluster join failed", "error", &JoinError{attempted, err})
		}
		wait := time.NewTimer(interval/2 + rand.N(interval)) // jitter: 300 members must not join at once
		select {
		case <-wait.C:
		case <-n.joinNow:
			interval = firstJoinInterval
		case <-ctx.Done():
		}
		wait.Stop()
	}
}

// tryJoin tries up to joinFanout addresses of members that are not known to be live, until one answers. If
// none answers, the error is that of the last address.
func (n *Node) tryJoin(ctx context.Context) (attempted []string, err error) {
	missing := n.members.missingAddresses(n.seeds, time.Now())
	rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	for _, address := range missing[:min(joinFanout, len(missing))] {
		if ctx.Err() != nil {
			return attempted, nil
		}
		n.joinAttempts.Add(1)
		attempted = append(attempted, address)
		if _, err = n.memberlist.Join([]string{address}); err == nil {
			return attempted, nil
		}
		n.joinFailures.Add(1)
	}
	return attempted, err
}
