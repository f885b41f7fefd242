package balancer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// change is what becomes of a server while the list is not confirmed.
type change int

const (
	stays   change = iota
	drains         // it turns calls away
	dies           // nobody answers there
	returns        // the same, and it is back after changedFor
)

const (
	lastConfirmation = start + 10*second // the list is confirmed every confirmEvery up to here
	changedAt        = start + 11*second
	changedFor       = 4 * second
	simulated        = start + 30*second

	confirmEvery  = 650 * second / 1000
	notifiedAfter = 6 * second // a change counts from so long after it came about
	socketSlack   = second / 20
)

// staleListWorld runs one replica before servers of which some change while the list is not confirmed. It records the
// attempts that were sent to a server too long after it had left.
type staleListWorld struct {
	balancer *Balancer
	rnd      *rand.Rand
	now      int64
	changes  map[string]change
	out      []answerDue
	sends    int
	late     []string
	refused  int

	changedAt, until int64 // of all that change; from then on sends to those are late
	confirmedUntil   int64 // the list is confirmed every confirmEvery up to here
}

type answerDue struct {
	at     int64
	id     string
	status Status
	sent   int64
}

func (f *staleListWorld) Send(id, server string, _, _ int64) {
	f.sends++
	due, took := answerDue{id: id, sent: f.now}, 60_000+f.rnd.Int64N(140_000)
	since := f.now - f.changedAt
	switch c := f.changes[server]; {
	case c == drains && since >= 0:
		due.status, took = StatusRejected, 2_000
	case (c == dies || c == returns && since < changedFor) && since >= 0:
		due.status, took = StatusConnectFailed, 250_000
	}
	notified := int64(1 << 60) // of its return
	if f.changes[server] == returns {
		notified = changedFor + notifiedAfter
	}
	if f.changes[server] != stays && f.now > f.until && since < notified {
		f.late = append(f.late, fmt.Sprintf("%s (%d) at %.2f s", server, f.changes[server], float64(f.now-start)/float64(second)))
	}
	due.at = f.now + took
	f.out = append(f.out, due)
}
func (f *staleListWorld) Reject(string, int64)   { f.refused++ }
func (f *staleListWorld) Fail(string)            {}
func (f *staleListWorld) SetTimer(int64, string) {}
func (f *staleListWorld) Log(Event)              {}
func (f *staleListWorld) Watch()                 {}

// play runs the replica at a rate of requests a second, with a list that is confirmed for some time.
func (f *staleListWorld) play(rate int64) {
	f.changedAt, f.confirmedUntil = changedAt, lastConfirmation
	f.until = changedAt + notifiedAfter + f.balancer.settings.DrainGrace + socketSlack
	f.balancer.UpdateEndpoints(start, f, UpdateSnapshot, testServers(len(f.changes)))
	f.run(rate)
}

// playCached runs it with the cached list that it starts with alone: all has changed before.
func (f *staleListWorld) playCached(rate, learned int64) {
	f.changedAt, f.confirmedUntil, f.until = start-second, start, start+learned
	f.balancer.UpdateEndpoints(start, f, UpdateCached, testServers(len(f.changes)))
	f.run(rate)
}

func (f *staleListWorld) run(rate int64) {
	f.now = start
	attempts, confirm, request := map[string]int{}, start+confirmEvery, start
	for n := 0; f.now < simulated; {
		slices.SortStableFunc(f.out, func(x, y answerDue) int { return cmp.Compare(x.at, y.at) })
		next := request
		if len(f.out) > 0 {
			next = min(next, f.out[0].at)
		}
		if confirm < f.confirmedUntil {
			next = min(next, confirm)
		}
		switch f.now = next; {
		case confirm < f.confirmedUntil && next == confirm:
			f.balancer.UpdateEndpoints(f.now, f, UpdateDelta, nil)
			confirm += confirmEvery
		case len(f.out) > 0 && next == f.out[0].at:
			due := f.out[0]
			f.out = f.out[1:]
			number := attempts[due.id]
			attempts[due.id]++
			f.balancer.HandleOutcome(f.now, f, Outcome{RequestID: due.id, Attempt: number, Status: due.status, Latency: f.now - due.sent, RequestDone: due.status == StatusOK})
		default:
			n++
			f.balancer.HandleRequest(f.now, f, Request{ID: fmt.Sprint(n), Deadline: f.now + 1_000_000})
			request += second/rate/2 + f.rnd.Int64N(second/rate)
		}
	}
}

// A stale list has servers that drain, are gone, or went and came back. From 6 s after each change on calls go to servers
// that kept executing attempts, and not to those.
func TestStaleListIsCorrectedByAttempts(t *testing.T) {
	for _, rate := range []int64{8, 35} {
		t.Run(fmt.Sprint(rate, " a second"), func(t *testing.T) {
			for seed := range uint64(20) {
				s := testSettings()
				s.DrainGrace, s.MembershipEvidenceTTL = second, 3*second
				f := &staleListWorld{balancer: mustNew(t, s), rnd: rand.New(rand.NewPCG(seed, 9)), changes: map[string]change{}}
				for i := range 24 {
					f.changes[fmt.Sprint("s", i)] = []change{stays, drains, stays, dies, stays, returns}[(i+int(seed))%6]
				}
				f.play(rate)
				if len(f.late) > 0 {
					t.Errorf("seed %d: %d of %d sends broke the rule on drains: %v", seed, len(f.late), f.sends, f.late[:min(3, len(f.late))])
				}
				if f.refused > f.sends/20 {
					t.Errorf("seed %d: %d refused of %d", seed, f.refused, f.sends)
				}
			}
		})
	}
}

// A replica that starts with an old list, and gets no other, finds out which servers drain or are gone by its first
// attempts, and then leaves these alone.
func TestCachedListIsCorrectedByFirstAttempts(t *testing.T) {
	const learned = 4 * second
	for seed := range uint64(20) {
		s := testSettings()
		s.DrainGrace, s.MembershipEvidenceTTL = second, 3*second
		f := &staleListWorld{balancer: mustNew(t, s), rnd: rand.New(rand.NewPCG(seed, 9)), changes: map[string]change{}}
		for i := range 24 {
			f.changes[fmt.Sprint("s", i)] = []change{stays, drains, stays, stays, dies, stays}[(i+int(seed))%6]
		}
		f.playCached(35, learned)
		if len(f.late) > 0 {
			t.Errorf("seed %d: %d of %d sends to servers that had turned calls away: %v", seed, len(f.late), f.sends, f.late[:min(3, len(f.late))])
		}
	}
}
