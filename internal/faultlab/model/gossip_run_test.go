package model

import (
	"flag"
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/cluster/state"
)

var (
	memberSizes = flag.String("model.members", "",
		"print the gossip of clusters of these sizes, such as 10,30,100")
	memberLoss    = flag.String("model.loss", "0,0.1,0.3", "fractions of the datagrams that are lost")
	memberSpan    = flag.Int("model.span", 60, "duration of each run in seconds")
	memberSeed    = flag.Uint64("model.seed", 1, "seed of each run")
	memberReports = flag.String("model.tells", "all,1,0",
		"load reports of each member: all, for each server that it calls, or a number")
)

// serversCalled returns how many servers of its own zone a member calls within the TTL of a load report, 5 s,
// at 20 calls a second, as in a run with balancers, which prefer their own zone. There are twice as many
// servers as members, and a third of them are in each zone.
func serversCalled(members int) int {
	servers := 2 * float64(members) / 3
	return int(math.Round(servers * (1 - math.Exp(-100/servers))))
}

// parseFloats parses a list of numbers that are separated by commas.
func parseFloats(t *testing.T, list string) (out []float64) {
	for _, s := range strings.Split(list, ",") {
		x, err := strconv.ParseFloat(s, 64)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, x)
	}
	return out
}

// TestMembersTable prints the table of docs/fleet.md.
func TestMembersTable(t *testing.T) {
	if *memberSizes == "" {
		t.Skip("-model.members")
	}
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(8 << 30))
	defer debug.SetGCPercent(debug.SetGCPercent(200))
	for _, size := range parseFloats(t, *memberSizes) {
		for _, reports := range strings.Split(*memberReports, ",") {
			for _, loss := range parseFloats(t, *memberLoss) {
				n := int(size)
				c := GossipConfig{Seed: *memberSeed, Duration: int64(*memberSpan) * sec, Size: n, Zones: 3, Loss: loss, LoadReports: serversCalled(n)}
				if reports != "all" {
					c.LoadReports = int(parseFloats(t, reports)[0])
				}
				start := time.Now()
				r := RunGossip(c)
				fmt.Fprintln(os.Stdout, c.line(r), fmt.Sprintf("| %.0f s", time.Since(start).Seconds()))
			}
		}
	}
}

// line returns the result of a run as a row of the table.
func (c *GossipConfig) line(r *GossipResult) string {
	quantiles := func(a durations) string {
		if a.N() == 0 {
			return "-"
		}
		return fmt.Sprintf("%.2f %.2f %.2f", seconds(a.At(0.5)), seconds(a.At(0.99)), seconds(a.At(1)))
	}
	each := func(bytes int64) float64 { return float64(bytes) / 1000 / float64(c.Size) / seconds(c.Duration) }
	var kinds []string
	all := int64(0)
	for _, n := range r.EntryBytes {
		all += n
	}
	for k, n := range r.Entries {
		if n > 0 {
			kinds = append(kinds, fmt.Sprintf("%s %.0f %% (%d B)", state.Kind(k), 100*float64(r.EntryBytes[k])/float64(all), r.EntryBytes[k]/n))
		}
	}
	return fmt.Sprintf("%d members, %d load reports, %.0f %% lost | health reports %s | load reports %s | %.1f KB/s datagrams, %.1f exchanges | "+
		"knows %d entries of %d members | dropped at limits %d, by queues %d | %s", c.Size, c.LoadReports,
		100*c.Loss, quantiles(r.HealthAges), quantiles(r.LoadAges),
		each(r.Bytes), each(r.ExchangeBytes), r.EntriesHeld.At(0.5), r.MembersKnown.At(0.5), r.DroppedAtLimit, r.Dropped, strings.Join(kinds, ", "))
}

// Equal configurations give equal results on any number of cores, and another seed gives another result.
func TestMembersRepeat(t *testing.T) {
	line := func(seed uint64, cores int) string {
		c := GossipConfig{Seed: seed, Duration: 8 * sec, Size: 20, Zones: 3, Loss: 0.3, LoadReports: 5}
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
		return c.line(RunGossip(c))
	}
	one := line(1, 1)
	for _, cores := range []int{2, 8} {
		if got := line(1, cores); got != one {
			t.Errorf("on %d cores\n%s\nbut on one\n%s", cores, got, one)
		}
	}
	if line(2, 2) == one {
		t.Error("two seeds give the same result")
	}
}

// The interval between full exchanges grows with the number of members as in memberlist.
func TestExchangesAreRarerInLargeFleets(t *testing.T) {
	for n, interval := range map[int]int64{2: 5, 32: 5, 33: 10, 64: 10, 100: 15, 300: 25, 1300: 35} {
		if got := exchangeInterval(n) / sec; got != interval {
			t.Errorf("%d members: exchange every %d s, want %d s", n, got, interval)
		}
	}
}
