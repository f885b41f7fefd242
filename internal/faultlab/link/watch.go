package link

import "time"

// Watch has cut told what programs send into cut links that they dial: of each connection the first bytes since the cut
// began, with the moment at which the socket gave them. It holds for links that are made afterwards.
func (n *Net) Watch(cut func(Ends, time.Time)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// unheard tells the watch of bytes that came into a cut.
func (c *Conn) unheard(at time.Time) {
	now := c.link.now.Load()
	if c.link.cut == nil || c.link.port == nil || !now.CutOut || c.cutIn == now {
		return
	}
	c.cutIn = now
	c.link.cut(c.link.ends, at)
}

// Blocked are the links on which no connection comes up now, by the address that is dialled.
func (n *Net) Blocked() map[string]Ends {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[string]Ends{}
	for _, l := range n.links {
		if l.port != nil && l.now.Load().NoConnect {
			out[l.port.addr] = l.ends
		}
	}
	return out
}
