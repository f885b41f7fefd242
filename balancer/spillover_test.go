package balancer

import "testing"

func TestSpilloverGrowsWhileTheLocalZoneIsSlow(t *testing.T) {
	b, _ := newWithServers(t, testSettings(), 8)
	home := weightOf(b, start, b.members.byID["s0"], 0)
	now := start
	feed := func(n int, bad bool) {
		for range n {
			now++
			b.applyBackpressure(moment(now), 0, &attempt{sentAt: moment(now), zone: b.settings.Zone}, bad, bad)
		}
	}
	feed(60*feedbackRoundCalls, false)
	if away := weightOf(b, start, b.members.byID["s2"], 0); away > home/10 {
		t.Errorf("a calm home leaves %.3f of the weight to other zones", away/home)
	}
	feed(20*feedbackRoundCalls, true)
	if away := weightOf(b, start, b.members.byID["s2"], 0); away < home/2 {
		t.Errorf("a home in trouble leaves %.3f of the weight to other zones", away/home)
	}
}
