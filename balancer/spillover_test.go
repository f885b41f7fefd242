package balancer

import "testing"

// Servers of other zones get little weight while the local zone is fast, and more while it is slow or fails.
func TestSpilloverGrowsWhileTheLocalZoneIsSlow(t *testing.T) {
	b, _ := newWithServers(t, testSettings(), 8)
	local := weightOf(b, start, b.members.byID["s0"], 0)
	now := start
	record := func(n int, bad bool) {
		for range n {
			now++
			b.applyBackpressure(moment(now), 0, &attempt{sentAt: moment(now), zone: b.settings.Zone}, bad, bad)
		}
	}
	record(60*feedbackRoundCalls, false)
	if remote := weightOf(b, start, b.members.byID["s2"], 0); remote > local/10 {
		t.Errorf("a remote server has %.3f of a local one's weight while the local zone is fast, want up "+
			"to 0.1", remote/local)
	}
	record(20*feedbackRoundCalls, true)
	if remote := weightOf(b, start, b.members.byID["s2"], 0); remote < local/2 {
		t.Errorf("a remote server has %.3f of a local one's weight while the local zone is slow, want at "+
			"least 0.5", remote/local)
	}
}
