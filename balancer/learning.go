package balancer

const (
	lateFraction            = 0.8 // of the aim: slower finishes count against the tier and the class
	slowFraction            = 0.6 // of the aim: slower finishes press the shares, in time to mend what is late next
	saturatedLatencyRatio   = 1.6 // of the time under little load: slower finishes press the shares too
	overloadedQuotaMultiple = 0.8 // but not below this multiple, since load is then not what makes them slow
	preemptionRatio         = 1.5 // a class yields to one that is worth more than this many times as much for its work

	initialGuessCalls        = 4.0  // finishes that a fresh copy's first guess at a mean is worth
	minHealthScore           = 0.05 // health left to a failing server, for trials
	attributionRatio         = 2.0  // a server is to blame when it fails this many times as often as all
	maxAttributableErrorRate = 0.75 // of all calls: where more fail, no server is blamed

	failureScoreFactor, healthGain = 0.3, 0.25 // health kept after an own failure; part of the loss a success mends

	slownessGain, maxLatencyRatio = 0.1, 5.0 // how far a finish moves a slowness, and what it says at most, in means

	minMeanGain, minUnloadedGain = 0.05, 0.001 // of means of time and errors; of time under little load, upwards only

	minSpillover, startSpillover = 0.02, 0.3 // weight of other zones while home copes; at a fresh copy of the front

	spilloverIncrease, spilloverDecay = 0.15, 0.9 // added after a round in which home was slow, a factor after a good one

)

// learn takes what an attempt's end tells of the server, the counts, the shares and the zones.
func (b *Balancer) learn(now int64, q *request, a *attempt, o Outcome) {
	if o.Status == StatusCancelled || o.Status == StatusNotSent {
		return
	}
	b.prove(a.server, a.sentAt, o.Status)
	c, k, failed := &b.classes[q.Class], q.Settings.Classes[q.Class], o.Status != StatusOK
	blame := b.judge(a.server, q.Class, o.Status)
	a.server.refused = o.Status == StatusConnectFailed || failed && a.server.refused
	if b.zones != nil {
		b.note(now, a, faultOfStatus[o.Status])
		b.measure(now, a.server, q.Class, o)
	}
	if !failed {
		b.reward(c, a.server, float64(o.Latency))
	}
	spent := float64(now - a.sentAt)
	late := failed && !blame || !failed && spent > lateFraction*float64(k.LatencyObjective)
	slow := late || !failed && spent > b.slowBar(q.Class)
	b.tier.learn(&b.tier.feedback, now, a.sentAt, late)
	c.rule.learn(&c.rule.feedback, now, a.sentAt, late)
	if !a.slow {
		b.press(now, q.Class, a, slow, slow || failed)
	}
}

// slowBar is the time at which a call counts as slow: well before its aim, and clearly over the time of calls
// when little waits, since servers that hold too many turn slower for long.
func (b *Balancer) slowBar(class int) float64 {
	bar := slowFraction * float64(b.s.Classes[class].LatencyObjective)
	if b.s.Tier > 0 || b.share <= overloadedQuotaMultiple {
		return bar
	}
	return min(bar, saturatedLatencyRatio*b.classes[class].base)
}

// press takes evidence on shares and home; slow calls of a class worth clearly more cut a class's count, too.
func (b *Balancer) press(now int64, class int, a *attempt, slow, homeBad bool) {
	for i := range b.classes {
		// One with no call out since it last learned has nothing to yield: its count would fall to the least.
		if c := &b.classes[i]; c.rule.peakInFlight > 0 && b.value(class) > preemptionRatio*b.value(i) {
			c.rule.learn(&c.yield, now, a.sentAt, slow)
		}
	}
	if f := b.shareEv.record(now, a.sentAt, slow); f == 1 && b.share < 1 {
		b.share = min(1, b.share+quotaIncreaseBelowShare)
	} else if f == 1 {
		b.share = min(b.shareMost, b.share+quotaIncreaseAboveShare)
	} else if f > 0 {
		b.share = max(minQuotaMultiple, min(b.share, b.shareBad)*f)
	}
	if a.zone == b.s.Zone {
		if f := b.spillEv.record(now, a.sentAt, homeBad); f == 1 {
			b.spill = max(minSpillover, b.spill*spilloverDecay)
		} else if f > 0 {
			b.spill = min(1, b.spill+spilloverIncrease)
		}
	}
}

// watch counts calls as slow when they have been out for the slow bar: in a jam they end seconds later.
func (b *Balancer) watch(now int64) {
	for i := range b.classes {
		c := &b.classes[i]
		for bar := int64(b.slowBar(i)); len(c.waiting) > 0 && now-c.waiting[0].sentAt > bar; {
			a := c.waiting[0]
			c.waiting = c.waiting[1:]
			if a.pending && !a.responseStarted {
				a.slow = true
				b.press(now, i, a, true, true)
			}
		}
	}
}

// judge updates a server's health and tells whether a failure is its own. One that its peers show as well is
// a deeper tier's and held against the counts; a refused connection never is, lest a lost zone be one. An
// error concerns its class only, lest servers that fail one class be lost to all; silence the whole server.
func (b *Balancer) judge(s *server, class int, status Status) (blame bool) {
	c, x := &b.classes[class], indicator(status != StatusOK)
	b.errs += (x - b.errs) * minMeanGain
	c.errorRate += (x - c.errorRate) * minMeanGain
	if status == StatusConnectFailed {
		blame = s.whole.record(x, 0)
	} else if status != StatusError {
		blame = s.whole.record(x, tolerableErrorRate(b.errs))
	}
	if status == StatusError || status == StatusRejected || status == StatusOK {
		blame = s.classes[class].record(x, tolerableErrorRate(c.errorRate)) || blame
	}
	return blame
}

// usual is the part of failed calls that a server may show unblamed when so many of all fail: twice that, or
// less from a half on, where it would be out of reach. Where most calls fail it is no server's own.
func tolerableErrorRate(errs float64) float64 {
	if errs > maxAttributableErrorRate {
		return 1
	}
	return min(attributionRatio*errs, (1+errs)/2)
}

// gainAfter is the gain of a running mean: that of a plain mean over what was seen, but no less than least.
func runningGain(seen, least float64) float64 { return max(least, 1/(initialGuessCalls+seen)) }

// judge blames a failure where failures are more than a usual part.
func (h *health) record(x, usual float64) (blame bool) {
	h.errorRate += (x - h.errorRate) * healthGain
	if x == 0 {
		h.score += (1 - h.score) * healthGain
	} else if blame = h.errorRate > usual; blame {
		h.score = max(minHealthScore, h.score*failureScoreFactor)
	}
	return blame
}

// reward moves the weight of a server towards its speed: the mean time of all over its own. The time sets the
// aim of a step: steps alone would add up to all calls at one server where load does not slow it down.
func (b *Balancer) reward(c *classState, s *server, took float64) {
	ratio := min(took/max(c.mean, 1), maxLatencyRatio)
	s.slowness += (ratio - s.slowness) * slownessGain
	s.told = 1 // until others tell again that it is bad
	c.seen++
	c.mean += (took - c.mean) * runningGain(c.seen, minMeanGain)
	c.base = min(c.mean, c.base+(c.mean-c.base)*runningGain(c.seen, minUnloadedGain))
}
