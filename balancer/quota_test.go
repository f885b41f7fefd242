package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

func TestTenantQuotaAdmitsItsRate(t *testing.T) {
	for _, count := range []float64{0.5, 3, 40} {
		var r tenantQuota
		passed := 0
		const secs = 40
		for now := start; now < start+secs*second; now += second / 100 {
			if r.admits(moment(now), moment(start), count, 0, 0.5) {
				r.admitted.add(moment(now))
				passed++
			}
		}
		if rate := float64(passed) / secs; math.Abs(rate-count) > 0.15*count+1.0/secs {
			t.Errorf("count %.1f passed %.2f a second", count, rate)
		}
	}
}

// The window grows no further than the time since the first request: a new replica would admit a long window's worth.
func TestNewReplicaDoesNotAdmitALongWindowAtOnce(t *testing.T) {
	var r tenantQuota
	passed := 0
	for now := start; now < start+second; now += second / 100 {
		if r.admits(moment(now), moment(start), 3, 0, 0.5) {
			r.admitted.add(moment(now))
			passed++
		}
	}
	if passed > 4 {
		t.Errorf("passed %d in the first second with a count of 3", passed)
	}
}

// A replica with few calls must not let one call of each tenant through a window however low its quota is.
func TestThrottledTenantHasNoFreeCall(t *testing.T) {
	passed := 0
	rnd := rand.New(rand.NewPCG(5, 5))
	for range 200 {
		var r tenantQuota
		for now := start; now < start+8*second; now += second {
			if r.admits(moment(now), moment(start-100*second), 0.01, 0, rnd.Float64()) {
				r.admitted.add(moment(now))
				passed++
			}
		}
	}
	if most := 200; passed >= most || passed == 0 { // was one each
		t.Errorf("200 replicas with a count of 0.01 a second passed %d calls in 8 s", passed)
	}
}

// While calls are slow, quotas shed at replicas whose tenants each send less than a call a window, too.
func TestBurstAllowanceShrinksWhileCallsAreSlow(t *testing.T) {
	s := testSettings()
	s.Replicas, s.Tenants = 100, []Tenant{{Share: 0.5, Quota: 30}, {Share: 0.5, Quota: 30}}
	sent := func(share float64) int {
		b, h := newWithServers(t, s, 4)
		for i := range 100 {
			now, id := start+int64(i)*4*second, fmt.Sprint(i)
			b.quotas.multiple, b.quotas.tenants[0].requests, b.arrivals.recent = share, decayingCount{}, decayingCount{}
			b.HandleRequest(now, h, Request{ID: id, Deadline: now + second})
			b.HandleOutcome(now, h, Outcome{RequestID: id, Status: StatusOK, Latency: 1000, RequestDone: true})
		}
		return len(h.sends)
	}
	if n := sent(1); n < 95 {
		t.Errorf("with nothing slow %d of 100 pass", n)
	}
	if n := sent(0.2); n > 60 || n < 20 {
		t.Errorf("at a share of 0.2 %d of 100 pass", n)
	}
}

// At a replica that gets a call a second chance alone fills a tenant's quota, which is no reason to reject. A tenant that
// goes on sending more than its share is held all the same.
func TestBurstByChanceIsAdmitted(t *testing.T) {
	s := testSettings()
	s.Replicas = 100
	for range 4 {
		s.Tenants = append(s.Tenants, Tenant{Share: 0.25, Quota: 30})
	}
	for _, c := range []struct {
		perSecond, most, least float64 // of tenant 0; the others send 0.25 a second each; parts of it refused
	}{{0.25, 0.05, 0}, {3, 1, 0.6}} {
		rnd := rand.New(rand.NewPCG(3, 3))
		sent, asked := 0.0, 0.0
		for replicas := range 20 {
			s.ReplicaIndex = replicas
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
						asked++
						sent += float64(len(h.sends) - before)
					}
					b.HandleOutcome(now, h, Outcome{RequestID: id, Status: StatusOK, Latency: 300_000, RequestDone: true})
				}
			}
		}
		if refused := 1 - sent/asked; refused > c.most || refused < c.least {
			t.Errorf("at %.2f calls a second and a count of 0.3, %.2f are refused", c.perSecond, refused)
		}
	}
}
func TestTenantOverItsShareIsShed(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Share: 0.5, Quota: 20}, {Share: 0.5, Quota: 20}}
	b, h := newWithServers(t, s, 4)
	sent := map[int]int{}
	n := 0
	for now := start; now < start+4*second; now += second / 100 {
		tenant := 0
		if n++; n%10 == 0 { // tenant 0 asks for 90 a second, tenant 1 for 10
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
		t.Errorf("the tenant inside its share got %d of 40", sent[1])
	}
	if sent[0] > 200 {
		t.Errorf("the tenant over its share got %d in 4 s, at 20 a second", sent[0])
	}
}

func TestThrottlingIsLoggedRarely(t *testing.T) {
	b, h := newWithServers(t, testSettings(), 2)
	b.logThrottling(moment(start), h)
	if len(h.lines) != 0 {
		t.Fatalf("a calm replica reports %q", h.lines)
	}
	b.quotas.multiple = 0.5
	for i := range int64(25) {
		b.logThrottling(moment(start+i*second), h)
	}
	if len(h.lines) != 3 {
		t.Errorf("%d lines in 25 s, want one each 10 s", len(h.lines))
	}
}

// A new replica doesn't hold tenants to their quotas while calls are fast. The first bad round takes the excess back.
func TestNewReplicaThrottlesTenantsOnlyWhenCallsAreSlow(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Share: 1, Quota: 20}}
	b, h := newWithServers(t, s, 8)
	for i := range 32 { // a second's traffic at 1.6 times the share
		now, id := start+int64(i)*second/32, fmt.Sprint(i)
		b.HandleRequest(now, h, Request{ID: id, Deadline: now + second})
		b.HandleOutcome(now, h, Outcome{RequestID: id, Status: StatusOK, Latency: 1000, RequestDone: true})
	}
	if n := len(h.sends); n != 32 {
		t.Errorf("%d of 32 pass at a fresh replica", n)
	}
	for i := 0; b.quotas.multiple > 1; i++ {
		if i == 10*feedbackRoundCalls {
			t.Fatalf("share still %v", b.quotas.multiple)
		}
		now := start + 2*second + int64(i)
		b.applyBackpressure(moment(now), 0, &attempt{sentAt: moment(now)}, true, true)
	}
	if b.quotas.multiple < minQuotaMultiple || b.quotas.multiple >= 1 {
		t.Errorf("a bad round leaves a share of %v", b.quotas.multiple)
	}
}

// One bad round doesn't hold a tenant to its quota for long once calls are timely again.
func TestQuotaMultipleRecoversWithinADozenRounds(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Share: 1, Quota: 20}}
	b, _ := newWithServers(t, s, 8)
	b.quotas.multiple = overloadQuotaMultiple
	for i := range 12 * feedbackRoundCalls {
		now := start + int64(i)
		b.applyBackpressure(moment(now), 0, &attempt{sentAt: moment(now)}, false, false)
	}
	if b.quotas.multiple != maxQuotaMultiple {
		t.Errorf("share %v after a dozen good rounds", b.quotas.multiple)
	}
}
