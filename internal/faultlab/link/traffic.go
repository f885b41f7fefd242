package link

import "sync/atomic"

// direction counts what passes one way: bytes without headers of the network, and the pieces that they came in.
type direction struct{ bytes, pieces atomic.Int64 }

func (d *direction) add(n int) {
	d.bytes.Add(int64(n))
	d.pieces.Add(1)
}

// traffic is what has passed over a link.
type traffic struct {
	sent, answered direction // by the dialling side, and to it
	conns          atomic.Int64
}

// Traffic is what has passed over links so far, bytes of connections without the network's own headers.
type Traffic struct {
	Sent, Answered int64 // bytes of the dialling side, and those that it was answered
	Pieces         int64 // that the dialling side sent in: of short calls one each
	Conns          int64 // that came up
}

// Plus is both together.
func (t Traffic) Plus(o Traffic) Traffic {
	return Traffic{t.Sent + o.Sent, t.Answered + o.Answered, t.Pieces + o.Pieces, t.Conns + o.Conns}
}

// Minus is what passed since o was told.
func (t Traffic) Minus(o Traffic) Traffic {
	return Traffic{t.Sent - o.Sent, t.Answered - o.Answered, t.Pieces - o.Pieces, t.Conns - o.Conns}
}

// Traffic shows what each link has passed so far.
func (n *Net) Traffic(show func(Ends, Traffic)) {
	n.mu.Lock()
	links := n.links
	n.mu.Unlock()
	for _, l := range links {
		t := &l.traffic
		show(l.ends, Traffic{t.sent.bytes.Load(), t.answered.bytes.Load(), t.sent.pieces.Load(), t.conns.Load()})
	}
}
