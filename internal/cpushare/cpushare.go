// Package cpushare decides which client connection may use the processor next, so that clients that keep a
// proxy busy cannot take the processor from others. It measures nothing and waits for nothing: its caller
// reports what was used and asks for turns, with the time of a clock of its own that never goes back.
//
// What is used is the time that passes while something is done, not the processor's: of a process that gets a
// part of a processor, work takes as much longer, so that all fractions are of the time that there is.
//
// Each connection has an allowance of processor time, and so has each client (an address) for all of its
// connections. A connection within both goes on at once. Beyond either it is throttled: it waits for a turn,
// and all throttled connections together take at most sharedFraction of the processor. While all connections
// together take more than totalFraction, no allowance grows, however many clients there are. Turns go round
// the clients, and among the connections of a client first to those within their own allowance, then in order
// of arrival. So a client that shares its address with a costly one waits for a moment and not behind it.
package cpushare

import (
	"net/netip"
	"time"
)

const (
	// sharedFraction of the processor is what all throttled connections take together at most.
	sharedFraction = 0.4
	// sharedBurst is how much of it they may use at once: less would need a timer for each turn.
	sharedBurst = 2 * time.Millisecond

	// totalFraction of the processor is what all connections may take before their allowances stop growing,
	// and totalBurst how much of it may be saved.
	totalFraction = 0.5
	totalBurst    = 20 * time.Millisecond
	// maxTotalDebt is how far they may be overdrawn: many connections may use up what they had saved at once.
	maxTotalDebt = time.Second

	// connRate is the allowance of a connection, as a fraction of the processor, and connBurst how much of it
	// may be saved. A connection whose requests wait for servers stays below: one of 30 ms takes some 0.3 %.
	connRate  = 0.01
	connBurst = 3 * time.Millisecond

	// clientRate and clientBurst are the allowance of all connections of an address.
	clientRate  = 0.1
	clientBurst = 50 * time.Millisecond

	// maxDebt is how far any of the others is overdrawn at most: after costly requests a connection is
	// throttled for some seconds more, not longer.
	maxDebt = 50 * time.Millisecond

	// maxOwnCharge is the most that one piece of work is charged to its connection and client. None takes so
	// long by itself: the process was held up meanwhile.
	maxOwnCharge = 5 * time.Millisecond

	// connectCost is about what a new connection takes: accept, a goroutine, and the close.
	connectCost = 50 * time.Microsecond
	// turnCost is about what it takes to wait for a turn and to get it, beside the work.
	turnCost = 20 * time.Microsecond
	// expectedDecay is how much of a turn's expected cost is left after a cheaper one.
	expectedDecay = 0.8

	// maxIdleClients is how many addresses without connections are remembered.
	maxIdleClients = 1 << 10
)

// Work is what a connection is about to do.
type Work int

// The kinds of work.
const (
	HandleBytes   Work = iota // going on with a head or a body after some bytes of it were read
	HandleRequest             // parsing and answering a request whose head is complete

	workKinds
)

// Conn is the state of a connection in a Scheduler, or of one of its goroutines.
type Conn struct {
	client    *client
	allowance allowance
	expected  [workKinds]time.Duration // cost of a turn

	// The work since the last Acquire.
	work    Work
	used    time.Duration
	inTurn  bool          // it had to wait for its turn, so that the work counts as throttled
	prepaid time.Duration // taken from Scheduler.shared for it, and not used yet
}

// Turn is what a connection waits for.
type Turn struct {
	conn *Conn
	work Work
}

// client is what a Scheduler knows about an address.
type client struct {
	conns     int
	allowance allowance
	within    []*Turn // waiting, of connections within their own allowance
	beyond    []*Turn // waiting, of the others
	inRound   bool    // in Scheduler.round
}

// Scheduler gives turns to connections. It is not safe for concurrent use.
type Scheduler struct {
	cores   float64
	shared  bucket // of all throttled connections
	total   bucket // of all connections
	clients map[netip.Addr]*client
	round   []*client // with turns that wait, in their order

	updatedAt time.Duration
	growth    time.Duration // clock of the allowances, which stands still while total is overdrawn
}

// New returns a Scheduler for a number of processors.
func New(now time.Duration, cores int) *Scheduler {
	s := &Scheduler{cores: float64(max(1, cores)), clients: map[netip.Addr]*client{}, updatedAt: now}
	s.shared = newBucket(now, sharedFraction*s.cores, sharedBurst)
	s.total = newBucket(now, totalFraction*s.cores, totalBurst)
	return s
}

// update moves the clock of the allowances on.
func (s *Scheduler) update(now time.Duration) {
	s.total.fill(now)
	if s.total.level > 0 {
		s.growth += max(0, now-s.updatedAt)
	}
	s.updatedAt = now
}

// newAllowance returns a full allowance.
func (s *Scheduler) newAllowance(rate float64, burst time.Duration) allowance {
	return allowance{bucket: newBucket(s.growth, rate*s.cores, burst)}
}

// Connect adds a new connection of a client.
func (s *Scheduler) Connect(now time.Duration, address netip.Addr) *Conn {
	s.update(now)
	c := s.clients[address]
	if c == nil {
		s.forgetIdle()
		c = &client{allowance: s.newAllowance(clientRate, clientBurst)}
		s.clients[address] = c
	}
	c.conns++
	c.allowance.take(s.growth, connectCost, maxDebt)
	s.total.take(now, connectCost, maxTotalDebt)
	return &Conn{client: c, allowance: s.newAllowance(connRate, connBurst)}
}

// Fork adds what another goroutine does for the same connection. It has an allowance of its own.
func (s *Scheduler) Fork(now time.Duration, c *Conn) *Conn {
	s.update(now)
	c.client.conns++
	return &Conn{client: c.client, allowance: s.newAllowance(connRate, connBurst)}
}

// Disconnect removes a connection, or what Fork has added.
func (s *Scheduler) Disconnect(c *Conn) { c.client.conns-- }

// forgetIdle makes room for another client: it removes those without connections that have not used their
// allowance, or all without connections if that is not enough.
func (s *Scheduler) forgetIdle() {
	if len(s.clients) < maxIdleClients {
		return
	}
	for address, c := range s.clients {
		if c.conns == 0 && !c.allowance.isExceeded(s.growth) {
			delete(s.clients, address)
		}
	}
	if len(s.clients) < maxIdleClients {
		return
	}
	for address, c := range s.clients {
		if c.conns == 0 {
			delete(s.clients, address)
		}
	}
}

// Charge reports that a connection has used the processor for some time since its last Acquire or Charge.
func (s *Scheduler) Charge(now time.Duration, c *Conn, used time.Duration) {
	s.update(now)
	s.total.take(now, used, maxTotalDebt)
	c.allowance.take(s.growth, min(used, maxOwnCharge), maxDebt)
	c.client.allowance.take(s.growth, min(used, maxOwnCharge), maxDebt)
	c.used += min(used, maxOwnCharge)
	if !c.inTurn {
		return
	}
	covered := min(used, c.prepaid)
	c.prepaid -= covered
	s.shared.take(now, used-covered, maxDebt)
}

// endWork settles what was taken in advance for the last turn of a connection, and learns what a next one may
// take.
func (s *Scheduler) endWork(now time.Duration, c *Conn) {
	s.shared.take(now, -c.prepaid, maxDebt)
	decayed := time.Duration(expectedDecay * float64(c.expected[c.work]))
	c.expected[c.work] = max(c.used, decayed)
	c.inTurn, c.prepaid, c.used = false, 0, 0
}

// Acquire asks for a turn. It returns nil if the connection may go on at once; otherwise its turn waits until
// Next returns it.
func (s *Scheduler) Acquire(now time.Duration, c *Conn, work Work) *Turn {
	s.update(now)
	s.endWork(now, c)
	ownExceeded := c.allowance.isExceeded(s.growth)
	if !ownExceeded && !c.client.allowance.isExceeded(s.growth) {
		c.work = work
		return nil
	}
	turn, client := &Turn{c, work}, c.client
	if ownExceeded {
		client.beyond = append(client.beyond, turn)
	} else {
		client.within = append(client.within, turn)
	}
	if !client.inRound {
		client.inRound = true
		s.round = append(s.round, client)
	}
	return turn
}

// Next returns a waiting turn that has come. If there is none yet, it returns nil and how long after now to
// ask again; 0 if none waits.
func (s *Scheduler) Next(now time.Duration) (turn *Turn, retryAfter time.Duration) {
	if len(s.round) == 0 {
		return nil, 0
	}
	if wait := s.shared.untilPositive(now); wait > 0 {
		return nil, wait
	}
	client := s.round[0]
	s.round = s.round[1:]
	turn = client.next()
	if client.inRound = len(client.within)+len(client.beyond) > 0; client.inRound {
		s.round = append(s.round, client)
	}
	turn.conn.begin(turn.work)
	s.shared.take(now, turnCost+turn.conn.prepaid, maxDebt)
	return turn, 0
}

// begin begins the work of a turn.
func (c *Conn) begin(work Work) {
	c.work, c.inTurn, c.prepaid = work, true, c.expected[work]
}

// next takes the next waiting turn of a client out of its queues, one of which is not empty.
func (c *client) next() (turn *Turn) {
	if len(c.within) > 0 {
		turn, c.within = c.within[0], c.within[1:]
		return turn
	}
	turn, c.beyond = c.beyond[0], c.beyond[1:]
	return turn
}
