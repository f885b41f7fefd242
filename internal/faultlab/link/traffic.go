package link

import "sync/atomic"

// direction counts the bytes of one direction, without network headers, and the chunks that they were read in.
type direction struct{ bytes, chunks atomic.Int64 }

func (d *direction) add(n int) {
	d.bytes.Add(int64(n))
	d.chunks.Add(1)
}

// linkTraffic counts the traffic of a link.
type linkTraffic struct {
	fromDialer, toDialer direction // by who sent it
	conns                atomic.Int64
}

// Traffic is the traffic of links so far, without network headers.
type Traffic struct {
	FromDialer, ToDialer int64 // bytes
	Chunks               int64 // from the dialling side; short calls are one each
	Connections          int64 // established
}

// Add adds two amounts of traffic.
func (t Traffic) Add(other Traffic) Traffic {
	return Traffic{t.FromDialer + other.FromDialer, t.ToDialer + other.ToDialer, t.Chunks + other.Chunks, t.Connections + other.Connections}
}

// Sub is the traffic since an earlier amount.
func (t Traffic) Sub(other Traffic) Traffic {
	return Traffic{t.FromDialer - other.FromDialer, t.ToDialer - other.ToDialer, t.Chunks - other.Chunks, t.Connections - other.Connections}
}

// EachTraffic calls show with the traffic of each link so far.
func (n *Net) EachTraffic(show func(Ends, Traffic)) {
	n.mu.Lock()
	links := n.links
	n.mu.Unlock()
	for _, l := range links {
		t := &l.traffic
		show(l.ends, Traffic{t.fromDialer.bytes.Load(), t.toDialer.bytes.Load(), t.fromDialer.chunks.Load(), t.conns.Load()})
	}
}
