package balancer

import "testing"

func TestWeightsFollowSpeedAndFailures(t *testing.T) {
	b, _ := with(t, testSettings(), 2)
	fast, slow := b.byID["s0"], b.byID["s1"]
	c := &b.classes[0]
	for range 200 {
		b.reward(c, fast, 100_000)
		b.reward(c, slow, 300_000)
	}
	if b.weigh(start, fast, 0) < 2*b.weigh(start, slow, 0) {
		t.Errorf("weights %v and %v", b.weigh(start, fast, 0), b.weigh(start, slow, 0))
	}
	before := b.weigh(start, fast, 0)
	b.judge(fast, 0, StatusError)
	if b.weigh(start, fast, 0) > before/2 {
		t.Error("a failure that its peer does not show left the weight")
	}
	for range 100 {
		b.judge(fast, 0, StatusError)
	}
	if b.weigh(start, fast, 0) <= 0 {
		t.Error("no floor keeps trials going")
	}
}

// Servers that failed one class were lost to the others too, and the rest was crowded.
func TestAnErrorConcernsItsClassAndSilenceTheServer(t *testing.T) {
	b, _ := with(t, testSettings(), 4)
	ill, well := b.byID["s0"], b.byID["s1"]
	for range 5 {
		b.judge(ill, 0, StatusError)
		b.judge(well, 0, StatusOK)
	}
	if w := b.weigh(start, ill, 0); w > b.weigh(start, well, 0)/5 {
		t.Errorf("a server that fails the class keeps weight %v", w)
	}
	if b.weigh(start, ill, 2) != b.weigh(start, well, 2) {
		t.Error("errors of one class cost a server the others")
	}
	for range 5 {
		b.judge(ill, 0, StatusTimedOut)
		for range 3 {
			b.judge(well, 0, StatusOK)
		}
	}
	if w := b.weigh(start, ill, 2); w > b.weigh(start, well, 2)/5 {
		t.Errorf("a silent server keeps weight %v for the other classes", w)
	}
}

// A server that was full for one class alone got its weight back with every success of another.
func TestFullConcernsItsClassToo(t *testing.T) {
	b, _ := with(t, testSettings(), 4)
	ill, well := b.byID["s0"], b.byID["s1"]
	for range 5 {
		b.judge(ill, 0, StatusRejected)
		for range 3 {
			b.judge(ill, 2, StatusOK)
			b.judge(well, 0, StatusOK)
			b.judge(well, 2, StatusOK)
		}
	}
	if w := b.weigh(start, ill, 0); w > b.weigh(start, well, 0)/5 {
		t.Errorf("a server that is full for the class keeps weight %v", w)
	}
	if w := b.weigh(start, ill, 2); w < b.weigh(start, well, 2)/2 {
		t.Errorf("and for the other class it is left %v", w)
	}
}

// A server that fails fast holds no calls, and by that drew nearly all while its peers were busy.
func TestAServerThatFailsFastGetsNoMoreThanTrials(t *testing.T) {
	b, _ := with(t, testSettings(), 4)
	for range 50 {
		b.judge(b.byID["s0"], 0, StatusError)
		for _, id := range []string{"s1", "s2", "s3"} {
			b.judge(b.byID[id], 0, StatusOK)
		}
	}
	for _, id := range []string{"s1", "s2", "s3"} {
		b.byID[id].inFlight = 4
	}
	drawn := 0
	for range 1000 {
		if b.draw(start, &request{Settings: b.s}).ID == "s0" {
			drawn++
		}
	}
	if drawn == 0 || drawn > 100 {
		t.Errorf("the failing server was drawn %d times in 1000", drawn)
	}
}

// A server that hangs took as many trials from a class that must not run twice, and each cost a request.
func TestASilentServerIsTriedWithCallsThatCanBeRepeated(t *testing.T) {
	set := testSettings()
	b, _ := with(t, set, 4)
	for range 50 {
		b.judge(b.byID["s0"], 0, StatusTimedOut)
		for range 3 {
			b.judge(b.byID["s1"], 0, StatusOK)
		}
	}
	drawn := map[Idempotency]int{}
	for class, c := range set.Classes {
		for range 4000 {
			if b.draw(start, &request{Settings: b.s, Request: Request{Class: class}}).ID == "s0" {
				drawn[c.Idempotency]++
			}
		}
	}
	if drawn[NonIdempotent] == 0 || drawn[NonIdempotent] > drawn[Idempotent]/2 {
		t.Errorf("drawn for a trial %v times", drawn)
	}
}

// Where half the calls failed none was blamed, though they were all of two servers: their full cut the counts.
func TestTwoServersThatFailAllAreBlamedAmongFour(t *testing.T) {
	b, _ := with(t, testSettings(), 4)
	for range 50 {
		b.judge(b.byID["s0"], 0, StatusRejected)
		b.judge(b.byID["s1"], 0, StatusRejected)
		b.judge(b.byID["s2"], 0, StatusOK)
		b.judge(b.byID["s3"], 0, StatusOK)
	}
	for _, id := range []string{"s0", "s1"} {
		if !b.judge(b.byID[id], 0, StatusRejected) {
			t.Errorf("%s is not blamed", id)
		}
	}
	if b.judge(b.byID["s2"], 0, StatusRejected) {
		t.Error("a single failure of a server that is well is blamed")
	}
}

// An error that all servers show comes from a deeper tier: no server is blamed.
func TestPeersShowingTheSameAreNotBlamed(t *testing.T) {
	b, _ := with(t, testSettings(), 4)
	for range 100 {
		for _, s := range b.all {
			b.judge(s, 0, StatusError)
		}
	}
	for _, s := range b.all {
		if b.judge(s, 0, StatusError) {
			t.Errorf("%s is blamed for what its peers show", s.ID)
		}
	}
}

// When a zone is lost all home servers refuse connections alike: they are to blame nonetheless.
func TestARefusedConnectionIsAlwaysBlamed(t *testing.T) {
	b, _ := with(t, testSettings(), 8)
	for range 5 {
		for _, s := range b.all {
			if !b.judge(s, 0, StatusConnectFailed) {
				t.Fatalf("%s is not blamed for a refused connection", s.ID)
			}
		}
	}
}
