package logic

import (
	"crypto/sha256"
	"fmt"
	"testing"
)

// goldenActions is what the actions of random sequences hash to. A Balancer that hears of no other decides as it did
// before there were any: whoever changes this says in the commit which decision of one copy changed, and why.
const goldenActions = "66995dfd5b58266d"

func TestOneThatHearsOfNoOthersDecidesAsBefore(t *testing.T) {
	sum := sha256.New()
	for seed := range uint64(8) {
		lines, _ := play(t, seed, 4000, false)
		for _, l := range lines {
			fmt.Fprintln(sum, l)
		}
	}
	if got := fmt.Sprintf("%x", sum.Sum(nil)[:8]); got != goldenActions {
		t.Errorf("the actions hash to %s, not %s", got, goldenActions)
	}
}
