package link

import "time"

// WatchCuts registers onCut, which is called when a program sends bytes over a cut link that it dialled: once
// for each connection and cut, with the time when the first bytes arrived. It applies to links created
// afterwards.
func (n *Net) WatchCuts(onCut func(Ends, time.Time)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onCut = onCut
}

// reportCut reports bytes that arrived at a time to the callback of WatchCuts if the link is cut.
func (c *Conn) reportCut(at time.Time) {
	effect := c.link.effect.Load()
	if c.link.onCut == nil || c.link.listener == nil || !effect.CutOut || c.reportedCut == effect {
		return
	}
	c.reportedCut = effect
	c.link.onCut(c.link.ends, at)
}

// Blocked returns the links on which connects are currently not answered, by dialled address.
func (n *Net) Blocked() map[string]Ends {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[string]Ends{}
	for _, l := range n.links {
		if l.listener != nil && l.effect.Load().NoConnect {
			out[l.listener.addr] = l.ends
		}
	}
	return out
}
