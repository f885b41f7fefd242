package link

import "time"

// WatchCuts has onCut called when a program sends bytes into a cut link that it dialled: for the first bytes of each connection since
// the cut began, with the time of their arrival. It applies to links created afterwards.
func (n *Net) WatchCuts(onCut func(Ends, time.Time)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onCut = onCut
}

// reportCut reports bytes that came into a cut to the watch.
func (c *Conn) reportCut(at time.Time) {
	effect := c.link.effect.Load()
	if c.link.onCut == nil || c.link.port == nil || !effect.CutOut || c.reportedCut == effect {
		return
	}
	c.reportedCut = effect
	c.link.onCut(c.link.ends, at)
}

// Blocked are the links on which connections do not come up now, by dialled address.
func (n *Net) Blocked() map[string]Ends {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[string]Ends{}
	for _, l := range n.links {
		if l.port != nil && l.effect.Load().NoConnect {
			out[l.port.addr] = l.ends
		}
	}
	return out
}
