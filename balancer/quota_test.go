package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// A tenant that sends more than its quota gets its quota, be it a fraction of a request per second or many.
func TestTenantQuotaAdmitsItsRate(t *testing.T) {
	for _, rate := range []float64{0.5, 3, 40} {
		var tenant tenantQuota
		admitted := 0
		const secs = 40
		for now := start; now < start+secs*second; now += second / 100 {
			if tenant.admits(moment(now), moment(start), rate, 0, 0.5) {
				tenant.admitted.add(moment(now))
				admitted++
			}
		}
		if got := float64(admitted) / secs; math.Abs(got-rate) > 0.15*rate+1.0/secs {
			t.Errorf("a quota of %.1f requests per second admitted %.2f per second", rate, got)
		}
	}
}

// The window must not be longer than the time since the first request: a new replica would otherwise admit
// the requests of a long window at once.
func TestNewReplicaDoesNotAdmitALongWindowAtOnce(t *testing.T) {
	var tenant tenantQuota
	admitted := 0
	for now := start; now < start+second; now += second / 100 {
		if tenant.admits(moment(now), moment(start), 3, 0, 0.5) {
			tenant.admitted.add(moment(now))
			admitted++
		}
	}
	if admitted > 4 {
		t.Errorf("%d requests were admitted in the first second at a quota of 3 per second, want up to 4",
			admitted)
	}
}

// A replica with few calls must not admit one call of each tenant per window however low the quota is.
func TestThrottledTenantHasNoFreeCall(t *testing.T) {
	admitted := 0
	rnd := rand.New(rand.NewPCG(5, 5))
	for range 200 {
		var tenant tenantQuota
		for now := start; now < start+8*second; now += second {
			if tenant.admits(moment(now), moment(start-100*second), 0.01, 0, rnd.Float64()) {
				tenant.admitted.add(moment(now))
				admitted++
			}
		}
	}
	if most := 200; admitted >= most || admitted == 0 { // the fault admitted one request at each replica
		t.Errorf("200 replicas with a quota of 0.01 requests per second admitted %d in 8 s, want 1 to %d",
			admitted, most-1)
	}
}

// While calls are slow, quotas also shed load at replicas whose tenants each send less than one call per
// window.
func TestBurstAllowanceShrinksWhileCallsAreSlow(t *testing.T) {
	s := testSettings()
	s.Replicas, s.Tenants = 100, []Tenant{{Share: 0.5, Quota: 30}, {Share: 0.5, Quota: 30}}
	sent := func(multiple float64) int {
		b, h := newWithServers(t, s, 4)
		for i := range 100 {
			now, id := start+int64(i)*4*second, fmt.Sprint(i)
			b.quotas.multiple, b.quotas.tenants[0].requests, b.arrivals.recent =
				multiple, decayingCount{}, decayingCount{}
			b.HandleRequest(now, h, Request{ID: id, Deadline: now + second})
			b.HandleOutcome(now, h, Outcome{RequestID: id, Status: StatusOK, Latency: 1000, RequestDone: true})
		}
		return len(h.sends)
	}
	if n := sent(1); n < 95 {
		t.Errorf("%d of 100 requests were sent while no call was slow, want at least 95", n)
	}
	if n := sent(0.2); n > 60 || n < 20 {
		t.Errorf("%d of 100 requests were sent at a quota multiple of 0.2, want 20 to 60", n)
	}
}

// At a replica that gets one call per second, random variation alone fills a tenant's quota and must not
// cause rejections. A tenant that keeps sending more than its share is still limited.
func TestBurstByChanceIsAdmitted(t *testing.T) {
	s := testSettings()
	s.Replicas = 100
	for range 4 {
		s.Tenants = append(s.Tenants, Tenant{Share: 0.25, Quota: 30})
	}
	for _, c := range []struct {
		perSecond   float64 // requests of tenant 0; the other tenants send 0.25 per second each
		most, least float64 // fraction of these requests that may and that must be rejected
	}{{0.25, 0.05, 0}, {3, 1, 0.6}} {
		rnd := rand.New(rand.NewPCG(3, 3))
		sent, received := 0.0, 0.0
		for replica := range 20 {
			s.ReplicaIndex = replica
			b, h := newWithServers(t, s, 4)
			for now := start; now < start+40*second; now += second / 100 {
				for tenant, rate := range []float64{c.perSecond, 0.25, 0.25, 0.25} {
					if rnd.Float64() > rate/100 {
						continue
					}
					id := fmt.Sprint(now, tenant)
					before := len(h.sends)
					b.HandleRequest(now, h, Request{ID: id, Tenant: tenant, Deadline: now + second})
					if tenant == 0 {
						received++
						sent += float64(len(h.sends) - before)
					}
					b.HandleOutcome(now, h,
						Outcome{RequestID: id, Status: StatusOK, Latency: 300_000, RequestDone: true})
				}
			}
		}
		if rejected := 1 - sent/received; rejected > c.most || rejected < c.least {
			t.Errorf("%.2f of the requests were rejected at %.2f requests per second and a quota of 0.3, "+
				"want %.2f to %.2f", rejected, c.perSecond, c.least, c.most)
		}
	}
}

// A tenant that sends more than its share is throttled; a tenant within its share is not.
func TestTenantOverItsShareIsShed(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Share: 0.5, Quota: 20}, {Share: 0.5, Quota: 20}}
	b, h := newWithServers(t, s, 4)
	sent := map[int]int{}
	n := 0
	for now := start; now < start+4*second; now += second / 100 {
		tenant := 0
		if n++; n%10 == 0 { // tenant 0 sends 90 requests per second, tenant 1 sends 10
			tenant = 1
		}
		before := len(h.sends)
		id := fmt.Sprint(n)
		b.HandleRequest(now, h, Request{ID: id, Class: 0, Tenant: tenant, Deadline: now + second})
		if len(h.sends) > before {
			sent[tenant]++
			b.HandleOutcome(now, h, Outcome{RequestID: id, Status: StatusOK, Latency: 400_000, RequestDone: true})
		}
	}
	if sent[1] != 40 {
		t.Errorf("%d of 40 requests of the tenant within its share were sent, want all", sent[1])
	}
	if sent[0] > 200 {
		t.Errorf("%d requests of the tenant over its share were sent in 4 s at a quota of 20 per second, "+
			"want up to 200", sent[0])
	}
}

// Throttling is logged at most once per throttlingLogInterval, and not at all while calls are fast.
func TestThrottlingIsLoggedRarely(t *testing.T) {
	b, h := newWithServers(t, testSettings(), 2)
	b.logThrottling(moment(start), h)
	if len(h.lines) != 0 {
		t.Fatalf("a replica that throttles no tenant logged %q", h.lines)
	}
	b.quotas.multiple = 0.5
	for i := range int64(25) {
		b.logThrottling(moment(start+i*second), h)
	}
	if len(h.lines) != 3 {
		t.Errorf("%d log lines in 25 s of throttling, want 3, one per 10 s", len(h.lines))
	}
}

// A new replica does not limit tenants to their quotas while calls are fast. The first bad round makes it do
// so.
func TestNewReplicaThrottlesTenantsOnlyWhenCallsAreSlow(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Share: 1, Quota: 20}}
	b, h := newWithServers(t, s, 8)
	for i := range 32 { // one second of traffic at 1.6 times the quota
		now, id := start+int64(i)*second/32, fmt.Sprint(i)
		b.HandleRequest(now, h, Request{ID: id, Deadline: now + second})
		b.HandleOutcome(now, h, Outcome{RequestID: id, Status: StatusOK, Latency: 1000, RequestDone: true})
	}
	if n := len(h.sends); n != 32 {
		t.Errorf("%d of 32 requests were sent by a new replica, want all", n)
	}
	for i := 0; b.quotas.multiple > 1; i++ {
		if i == 10*feedbackRoundCalls {
			t.Fatalf("the quota multiple is still %v after %d slow calls", b.quotas.multiple, i)
		}
		now := start + 2*second + int64(i)
		b.applyBackpressure(moment(now), 0, &attempt{sentAt: moment(now)}, true, true)
	}
	if b.quotas.multiple < minQuotaMultiple || b.quotas.multiple >= 1 {
		t.Errorf("quota multiple after a bad round: %v, want from %v to below 1",
			b.quotas.multiple, minQuotaMultiple)
	}
}

// After a bad round the quota multiple is back at its maximum within a dozen good ones.
func TestQuotaMultipleRecoversWithinADozenRounds(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Share: 1, Quota: 20}}
	b, _ := newWithServers(t, s, 8)
	b.quotas.multiple = maxQuotaMultipleAfterBadRound
	for i := range 12 * feedbackRoundCalls {
		now := start + int64(i)
		b.applyBackpressure(moment(now), 0, &attempt{sentAt: moment(now)}, false, false)
	}
	if b.quotas.multiple != maxQuotaMultiple {
		t.Errorf("quota multiple after a dozen good rounds: %v, want %v", b.quotas.multiple, maxQuotaMultiple)
	}
}
