package cpushare

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

var (
	costlyClient = netip.MustParseAddr("127.0.0.1")
	otherClient  = netip.MustParseAddr("127.0.0.2")
)

// simulation runs connections on one processor, in the order in which they may go on.
type simulation struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Duration
	ready     []*worker
	waiting   map[*Turn]*worker
}

// worker is a connection that always has work of the same cost to do.
type worker struct {
	conn *Conn
	cost time.Duration
	used time.Duration
}

func newSimulation(t *testing.T, cores int) *simulation {
	return &simulation{t: t, scheduler: New(0, cores), waiting: map[*Turn]*worker{}}
}

// connect adds a connection of a client and asks for its first turn.
func (s *simulation) connect(client netip.Addr, cost time.Duration) *worker {
	w := &worker{conn: s.scheduler.Connect(s.now, client), cost: cost}
	s.ask(w)
	return w
}

// ask asks for a turn of a worker.
func (s *simulation) ask(w *worker) {
	if turn := s.scheduler.Acquire(s.now, w.conn, HandleRequest); turn != nil {
		s.waiting[turn] = w
		return
	}
	s.ready = append(s.ready, w)
}

// runFor lets all work until a time has passed.
func (s *simulation) runFor(duration time.Duration) {
	for end := s.now + duration; s.now < end; {
		turn, retryAfter := s.scheduler.Next(s.now)
		if turn != nil {
			s.ready = append(s.ready, s.waiting[turn])
			delete(s.waiting, turn)
			continue
		}
		if len(s.ready) == 0 {
			if retryAfter == 0 {
				s.t.Fatalf("nothing is ready and nothing will be, with %d waiting", len(s.waiting))
			}
			s.now = min(end, s.now+retryAfter)
			continue
		}
		w := s.ready[0]
		s.ready = s.ready[1:]
		s.now += w.cost
		w.used += w.cost
		s.scheduler.Charge(s.now, w.conn, w.cost)
		s.ask(w)
	}
}

// TestThrottledConnectionsTakeNoMoreThanTheirFraction checks that connections that always have work leave the rest of
// the processor to others, whatever a piece of their work costs, and that each gets the same number of turns.
func TestThrottledConnectionsTakeNoMoreThanTheirFraction(t *testing.T) {
	for _, cost := range []time.Duration{5 * time.Microsecond, 100 * time.Microsecond, 2 * time.Millisecond} {
		for _, clients := range []int{1, 12, 300} {
			t.Run(fmt.Sprintf("%v/%d", cost, clients), func(t *testing.T) {
				s := newSimulation(t, 1)
				var workers []*worker
				for range clients {
					workers = append(workers, s.connect(costlyClient, cost))
				}
				s.runFor(5 * time.Second) // they use up their allowances
				for _, w := range workers {
					w.used = 0
				}
				const measured = 10 * time.Second
				s.runFor(measured)
				total, least, most := time.Duration(0), workers[0].used, workers[0].used
				for _, w := range workers {
					total += w.used
					least, most = min(least, w.used), max(most, w.used)
				}
				if fraction := total.Seconds() / measured.Seconds(); fraction > max(totalFraction, sharedFraction) || fraction < sharedFraction*float64(cost)/float64(cost+turnCost)*0.9 {
					t.Errorf("throttled connections took %.3f of the processor, want nearly %v", fraction, sharedFraction)
				}
				// One that takes less than its rate goes on at once for a while whenever its allowance is half full.
				if mean := total / time.Duration(clients); most-least > mean/10+2*cost+2*connBurst {
					t.Errorf("connections took from %v to %v, want nearly the same for each", least, most)
				}
			})
		}
	}
}

// TestOtherClientsAreNotThrottled checks that a connection within its allowance goes on at once, though another client
// is throttled, and that a new connection of the throttled client waits for a turn of each of its others at most.
func TestOtherClientsAreNotThrottled(t *testing.T) {
	const conns, cost = 60, 200 * time.Microsecond
	s := newSimulation(t, 1)
	for range conns {
		s.connect(costlyClient, cost)
	}
	s.runFor(5 * time.Second)
	if turn := s.scheduler.Acquire(s.now, s.scheduler.Connect(s.now, otherClient), HandleRequest); turn != nil {
		t.Error("a connection of another client was throttled")
	}
	newcomer := &worker{conn: s.scheduler.Connect(s.now, costlyClient), cost: time.Millisecond}
	s.ask(newcomer)
	asked := s.now
	for newcomer.used == 0 && s.now < asked+time.Second {
		s.runFor(time.Millisecond)
	}
	round := time.Duration(float64((conns+1)*(cost+turnCost)) / sharedFraction)
	if took := s.now - asked; took > round+newcomer.cost+sharedBurst {
		t.Errorf("a new connection of the costly client waited %v, want %v at most", took, round)
	}
}

// TestManyClientsTogetherLeaveProcessorTime checks that connections that always have work leave the rest of the
// processor to others, though each has an address of its own.
func TestManyClientsTogetherLeaveProcessorTime(t *testing.T) {
	s := newSimulation(t, 1)
	var workers []*worker
	for i := range 300 {
		workers = append(workers, s.connect(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 100*time.Microsecond))
	}
	s.runFor(5 * time.Second) // they use up their allowances
	before := time.Duration(0)
	for _, w := range workers {
		before += w.used
	}
	const measured = 10 * time.Second
	s.runFor(measured)
	total := -before
	for _, w := range workers {
		total += w.used
	}
	if most := time.Duration(totalFraction*float64(measured)) + totalBurst + 300*connBurst; total > most {
		t.Errorf("300 clients took %v of %v, want %v at most", total, measured, most)
	}
}

// TestReconnectingClientIsThrottled checks that a client cannot escape by new connections.
func TestReconnectingClientIsThrottled(t *testing.T) {
	s := newSimulation(t, 1)
	used := time.Duration(0)
	for s.now < 10*time.Second {
		w := s.connect(costlyClient, 100*time.Microsecond)
		for w.used == 0 {
			s.runFor(10 * time.Microsecond)
		}
		used += w.used
		s.ready = nil
		s.scheduler.Disconnect(w.conn)
	}
	if fraction := used.Seconds() / s.now.Seconds(); fraction > sharedFraction+clientRate {
		t.Errorf("a client with a new connection for each request took %.2f of the processor, want %v at most", fraction, sharedFraction+clientRate)
	}
}

// TestEachTurnComes checks that each turn that waits is given, over random orders of calls, also when connections end
// while they wait.
func TestEachTurnComes(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		s, now := New(0, 1+random.IntN(2)), time.Duration(0)
		waiting := map[*Turn]bool{}
		for range 500 {
			now += time.Duration(random.IntN(1000)) * time.Microsecond
			c := s.Connect(now, netip.AddrFrom4([4]byte{127, 0, 0, byte(random.IntN(5))}))
			s.Charge(now, c, time.Duration(random.IntN(20_000))*time.Microsecond)
			if turn := s.Acquire(now, c, Work(random.IntN(int(workKinds)))); turn != nil {
				waiting[turn] = true
			}
			if random.IntN(2) == 0 {
				s.Disconnect(c)
			}
		}
		for len(waiting) > 0 {
			turn, retryAfter := s.Next(now)
			if turn == nil && retryAfter == 0 {
				t.Fatalf("seed %d: %d turns will never come", seed, len(waiting))
			}
			if turn != nil && !waiting[turn] {
				t.Fatalf("seed %d: a turn came twice", seed)
			}
			delete(waiting, turn)
			now += retryAfter
		}
	}
}

// TestIdleClientsAreForgotten checks that addresses without connections do not fill the memory.
func TestIdleClientsAreForgotten(t *testing.T) {
	s := New(0, 1)
	for i := range 10 * maxIdleClients {
		c := s.Connect(0, netip.AddrFrom4([4]byte{127, byte(i >> 16), byte(i >> 8), byte(i)}))
		s.Charge(0, c, time.Second)
		s.Disconnect(c)
	}
	if n := len(s.clients); n > maxIdleClients {
		t.Errorf("%d clients are remembered, want %d at most", n, maxIdleClients)
	}
}
