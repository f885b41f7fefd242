package balancer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// serverChange is what happens to a server while the list is not confirmed.
type serverChange int

const (
	stays   serverChange = iota // nothing
	drains                      // it rejects calls
	dies                        // connections to it fail
	returns                     // connections to it fail until it is back after changedFor
)

// Times on the event clock and durations, in µs.
const (
	lastConfirmation = start + 10*second // the list is confirmed every confirmEvery until here
	changedAt        = start + 11*second // the servers change
	changedFor       = 4 * second
	simulated        = start + 30*second // end of the simulation

	confirmEvery  = 650 * second / 1000
	notifiedAfter = 6 * second // time after which discovery would have announced a change
	socketSlack   = second / 20
)

// staleListSimulation simulates one replica and its servers, some of which change while the list is not
// confirmed. It records the attempts that were sent to a server too long after its change.
type staleListSimulation struct {
	balancer  *Balancer
	rnd       *rand.Rand
	now       int64
	changes   map[string]serverChange
	pending   []pendingOutcome // attempts in flight
	sends     int
	lateSends []string // sends to a changed server after until
	rejected  int      // rejected requests

	changedAt, until int64 // when the servers change, and from when on no send may go to them
	confirmedUntil   int64 // the list is confirmed every confirmEvery until here
	firstRequest     int64 // 0: at the start
	outage           int64 // how long a server that returns is gone; 0: changedFor
}

// pendingOutcome is an attempt in flight and its outcome.
type pendingOutcome struct {
	at     int64 // when the attempt ends
	id     string
	status Status
	sent   int64
}

// Send schedules the outcome of an attempt and records the attempt if it is late.
func (f *staleListSimulation) Send(id, server string, _, _ int64) {
	f.sends++
	due, took := pendingOutcome{id: id, sent: f.now}, 60_000+f.rnd.Int64N(140_000)
	since := f.now - f.changedAt
	switch c := f.changes[server]; {
	case c == drains && since >= 0:
		due.status, took = StatusRejected, 2_000
	case (c == dies || c == returns && since < f.outageDuration()) && since >= 0:
		due.status, took = StatusConnectFailed, 250_000
	}
	notified := int64(1 << 60) // time after the change when its return would have been announced
	if f.changes[server] == returns {
		notified = f.outageDuration() + notifiedAfter
	}
	if f.changes[server] != stays && f.now > f.until && since < notified {
		f.lateSends = append(f.lateSends, fmt.Sprintf("%s (%d) at %.2f s", server, f.changes[server],
			float64(f.now-start)/float64(second)))
	}
	due.at = f.now + took
	f.pending = append(f.pending, due)
}

// outageDuration returns how long a server that returns is gone.
func (f *staleListSimulation) outageDuration() int64 { return cmp.Or(f.outage, changedFor) }

func (f *staleListSimulation) Reject(string, int64)   { f.rejected++ }
func (f *staleListSimulation) Fail(string)            {}
func (f *staleListSimulation) SetTimer(int64, string) {}
func (f *staleListSimulation) Log(Event)              {}
func (f *staleListSimulation) Watch()                 {}

// runWithConfirmedList runs the replica at a rate of requests per second, with a list that is confirmed until
// lastConfirmation.
func (f *staleListSimulation) runWithConfirmedList(rate int64) {
	f.changedAt, f.confirmedUntil = changedAt, lastConfirmation
	f.until = changedAt + notifiedAfter + f.balancer.settings.DrainGrace + socketSlack
	f.balancer.UpdateEndpoints(start, f, UpdateSnapshot, testServers(len(f.changes)))
	f.run(rate)
}

// runWithCachedList runs the replica with only a cached list, which it has from the start; the servers
// changed before. From learned on no send may go to a changed server.
func (f *staleListSimulation) runWithCachedList(rate, learned int64) {
	f.changedAt, f.confirmedUntil, f.until = start-second, start, start+learned
	f.balancer.UpdateEndpoints(start, f, UpdateCached, testServers(len(f.changes)))
	f.run(rate)
}

// run runs the replica until the end of the simulation.
func (f *staleListSimulation) run(rate int64) {
	f.now = start
	attempts, confirm, request := map[string]int{}, start+confirmEvery, max(start, f.firstRequest)
	for n := 0; f.now < simulated; {
		slices.SortStableFunc(f.pending, func(x, y pendingOutcome) int { return cmp.Compare(x.at, y.at) })
		next := request
		if len(f.pending) > 0 {
			next = min(next, f.pending[0].at)
		}
		if confirm < f.confirmedUntil {
			next = min(next, confirm)
		}
		switch f.now = next; {
		case confirm < f.confirmedUntil && next == confirm:
			f.balancer.UpdateEndpoints(f.now, f, UpdateDelta, nil)
			confirm += confirmEvery
		case len(f.pending) > 0 && next == f.pending[0].at:
			due := f.pending[0]
			f.pending = f.pending[1:]
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

// check fails the test if sends were late or many requests were rejected.
func (f *staleListSimulation) check(t *testing.T, seed uint64) {
	t.Helper()
	if len(f.lateSends) > 0 {
		t.Errorf("seed %d: %d of %d sends went to a server too long after it had changed: %v",
			seed, len(f.lateSends), f.sends, f.lateSends[:min(3, len(f.lateSends))])
	}
	if f.rejected > f.sends/20 {
		t.Errorf("seed %d: %d requests rejected, with %d sends", seed, f.rejected, f.sends)
	}
}

// newIdleReplica returns a simulation of a replica that gets its first request idle µs after its list became
// stale.
func newIdleReplica(t *testing.T, seed uint64, idle int64,
	changeOf func(i int, server Server) serverChange) *staleListSimulation {
	s := testSettings()
	s.DrainGrace, s.MembershipEvidenceTTL = second, 2*second
	f := &staleListSimulation{balancer: mustNew(t, s), rnd: rand.New(rand.NewPCG(seed, 9)),
		changes: map[string]serverChange{}}
	for i, server := range testServers(24) {
		f.changes[server.ID] = changeOf(i, server)
	}
	f.firstRequest = lastConfirmation + s.MembershipEvidenceTTL + idle
	return f
}

// TestStaleListIsCorrectedByAttempts checks a stale list with servers that drain, die, or die and come back.
// From notifiedAfter and the drain grace after the change on, calls go only to servers that kept executing
// attempts.
func TestStaleListIsCorrectedByAttempts(t *testing.T) {
	for _, rate := range []int64{8, 35} {
		t.Run(fmt.Sprint(rate, " a second"), func(t *testing.T) {
			for seed := range uint64(20) {
				s := testSettings()
				s.DrainGrace, s.MembershipEvidenceTTL = second, 3*second
				f := &staleListSimulation{balancer: mustNew(t, s), rnd: rand.New(rand.NewPCG(seed, 9)),
					changes: map[string]serverChange{}}
				for i := range 24 {
					f.changes[fmt.Sprint("s", i)] =
						[]serverChange{stays, drains, stays, dies, stays, returns}[(i+int(seed))%6]
				}
				f.runWithConfirmedList(rate)
				f.check(t, seed)
			}
		})
	}
}

// TestCachedListIsCorrectedByFirstAttempts checks that a replica that starts with an old list, and gets no
// other, finds the servers that drain or are gone by its first attempts and then avoids them.
func TestCachedListIsCorrectedByFirstAttempts(t *testing.T) {
	const learned = 4 * second
	for seed := range uint64(20) {
		s := testSettings()
		s.DrainGrace, s.MembershipEvidenceTTL = second, 3*second
		f := &staleListSimulation{balancer: mustNew(t, s), rnd: rand.New(rand.NewPCG(seed, 9)),
			changes: map[string]serverChange{}}
		for i := range 24 {
			f.changes[fmt.Sprint("s", i)] =
				[]serverChange{stays, drains, stays, stays, dies, stays}[(i+int(seed))%6]
		}
		f.runWithCachedList(35, learned)
		if len(f.lateSends) > 0 {
			t.Errorf("seed %d: %d of %d sends went to servers that had not executed calls: %v",
				seed, len(f.lateSends), f.sends, f.lateSends[:min(3, len(f.lateSends))])
		}
	}
}

// TestStaleListWithoutEvidenceIsCorrectedByFirstAttempts checks a replica without calls while the list was
// valid, for example an idle one, for which no server has evidence of being listed. It keeps to the servers
// that executed its first attempts, and so avoids one that died and came back.
func TestStaleListWithoutEvidenceIsCorrectedByFirstAttempts(t *testing.T) {
	for _, rate := range []int64{3, 8, 35} {
		t.Run(fmt.Sprint(rate, " a second"), func(t *testing.T) {
			for seed := range uint64(40) {
				f := newIdleReplica(t, seed, second/2, func(i int, _ Server) serverChange {
					return []serverChange{stays, returns, stays}[(i+int(seed))%3]
				})
				f.runWithConfirmedList(rate)
				f.check(t, seed)
			}
		})
	}
}

// TestStaleListWithoutEvidenceIsCorrectedByLostZone checks the same after a short outage of a whole zone,
// whose servers then answer nearly as early as the others: a replica whose calls to the zone failed keeps to
// the other zone.
func TestStaleListWithoutEvidenceIsCorrectedByLostZone(t *testing.T) {
	for seed := range uint64(200) {
		f := newIdleReplica(t, seed, second*8/10, func(_ int, server Server) serverChange {
			return []serverChange{stays, returns}[server.Zone]
		})
		f.outage = 2200 * second / 1000
		f.runWithConfirmedList(5)
		f.check(t, seed)
	}
}

// TestStaleListIsSearchedBeyondTheSubset checks that the only server with evidence of being listed gets the
// call, even if it is not in this replica's subset.
func TestStaleListIsSearchedBeyondTheSubset(t *testing.T) {
	s := testSettings()
	s.MembershipEvidenceTTL = 2 * second
	b, h := mustNew(t, s), &recorder{}
	b.UpdateEndpoints(start, h, UpdateSnapshot, testServers(40))
	now := moment(start + 10*second)
	for _, listed := range b.members.ready {
		listed.listEvidence.confirmedUntil = now + 1
		if got := b.selection.choose(now, &request{Request: Request{Settings: b.settings}}); got != listed {
			t.Errorf("chose %s, but only %s has evidence of being listed", got.ID, listed.ID)
		}
		listed.listEvidence.confirmedUntil = 0
	}
}
