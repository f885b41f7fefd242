package balancer

import (
	"fmt"
	"testing"
)

// What a cold server may not have goes to warm ones that are well. One that fails fast holds no calls, and by that alone
// it drew nearly all of it where the others hold some; it keeps its trials.
func TestAFailingServerDoesNotGetWhatAColdOneMayNot(t *testing.T) {
	for _, k := range []struct {
		name string
		cold int
		held int // by each warm one that is well
	}{
		{"the others are idle", 2, 0},
		{"the others hold a call", 2, 1},
		{"the others hold some", 2, 3},
		{"more are cold", 3, 2},
	} {
		t.Run(k.name, func(t *testing.T) {
			set := testSettings()
			set.ZoneCount, set.OverloadMultiple, set.OverloadWindow = 1, 3, 2*second
			list := fleet(6)
			for i := range list {
				if list[i].Zone = 0; i < k.cold {
					list[i].StartTime = start
				}
			}
			b, h := mustNew(t, set), &recorder{}
			b.UpdateEndpoints(start, h, UpdateSnapshot, list)
			ill := b.byID[list[5].ID]
			ill.whole.score = minHealthScore
			for _, s := range b.ready {
				if s.StartTime == 0 && s != ill {
					s.inFlight = k.held
				}
			}
			const n = 20000
			got, none := 0, 0
			for i := range n {
				now := start + int64(i) // grown hardly changes meanwhile
				q := &request{Settings: b.s, Request: Request{ID: fmt.Sprint(i), Class: 2}}
				b.arrived(now, q)
				switch b.draw(now, q) {
				case ill:
					got++
				case nil:
					none++
				}
			}
			// Of what goes to one that is well it has healthFloor, so of all it has that at most.
			if float64(got) > 1.1*minHealthScore*n {
				t.Errorf("the failing server got %.3f of the draws, may get %.3f", float64(got)/n, minHealthScore)
			}
			if got == 0 || none > 0 {
				t.Errorf("the failing server got %d of %d draws, %d found no server", got, n, none)
			}
		})
	}
}
