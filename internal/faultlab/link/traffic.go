package link

import "sync/atomic"

// direction counts the bytes of one direction, without network headers, and the chunks in which they were
// read or written.
type direction struct{ bytes, chunks atomic.Int64 }

// add counts one chunk of n bytes.
func (d *direction) add(n int) {
	d.bytes.Add(int64(n))
	d.chunks.Add(1)
}

// linkTraffic counts the traffic of a link by direction.
type linkTraffic struct {
	fromDialer, toDialer direction
	conns                atomic.Int64
}

// Traffic is an amount of traffic of one or more links.
type Traffic struct {
	FromDialer, ToDialer int64 // bytes, without network headers
	Chunks               int64 // from the dialling side; a short call is usually one chunk
	Connections          int64 // connections established
}

// Add returns the sum of two amounts of traffic.
func (t Traffic) Add(other Traffic) Traffic {
	return Traffic{t.FromDialer + other.FromDialer, t.ToDialer + other.ToDialer, t.Chunks + other.Chunks, t.Connections + other.Connections}
}

// Sub returns the difference to an earlier amount of traffic.
func (t Traffic) Sub(other Traffic) Traffic {
	return Traffic{t.FromDialer - other.FromDialer, t.ToDialer - other.ToDialer, t.Chunks - other.Chunks, t.Connections - other.Connections}
}

// EachTraffic calls show with the ends and the traffic so far of each link.
func (n *Net) EachTraffic(visit func(Ends, Traffic)) {
	n.mu.Lock()
	links := n.links
	n.mu.Unlock()
	for _, l := range links {
		t := &l.traffic
		visit(l.ends, Traffic{t.fromDialer.bytes.Load(), t.toDialer.bytes.Load(), t.fromDialer.chunks.Load(),
			t.conns.Load()})
	}
}
