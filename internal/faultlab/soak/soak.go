// Package soak generates experiments with several zones and overlapping faults from a seed, and finds the
// failures of a run: broken rules, crashes, and signs of either in the proxies' logs. It ignores all other
// metrics of a run, and runs nothing itself.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"merlinpick/experiments"
	"merlinpick/internal/faultlab/experiment"
)

const (
	loadSeconds       = 18.0
	earliestFault     = 3.0  // seconds
	latestFault       = 13.0 // seconds; a later fault would have no time to take effect
	overlapMoments    = 3    // number of moments at which faults overlap
	overlapWindow     = 0.8  // maximum seconds between the starts of overlapping faults
	maxCancelFraction = 0.3  // maximum fraction of the attempts that clients cancel, in half of the seeds
	minProxies        = 3    // of a zone
	maxProxies        = 5    // of a zone
	largeZonesOneIn   = 4    // one seed in so many has larger zones
	minProxiesLarge   = 8    // of a larger zone
	maxProxiesLarge   = 13   // of a larger zone
)

// faultGenerator draws faults of a kind.
type faultGenerator struct {
	kind     string
	drawKeys func(random *rand.Rand) string // returns lines of the experiment file
	duration [2]float64                     // seconds, minimum and maximum
}

// drawShare returns a function that draws the share of the possible targets that a fault affects.
func drawShare(low, high float64) func(*rand.Rand) string {
	return func(random *rand.Rand) string { return fmt.Sprintf("share = %.2f\n", low+(high-low)*random.Float64()) }
}

// drawKey returns a function that draws a number for a key, and then other keys.
func drawKey(key string, low, high float64, others func(*rand.Rand) string) func(*rand.Rand) string {
	return func(random *rand.Rand) string {
		return fmt.Sprintf("%s = %.2f\n", key, low+(high-low)*random.Float64()) + others(random)
	}
}

// drawVersions returns a function that draws the number of further signals, if any, that a process gets while
// it ends, and then other keys.
func drawVersions(others func(*rand.Rand) string) func(*rand.Rand) string {
	return func(random *rand.Rand) string {
		signals := ""
		if n := random.IntN(5); n > 0 {
			signals = fmt.Sprintf("versions = %d\n", n)
		}
		return signals + others(random)
	}
}

// fixedKeys returns a function that returns always the same keys.
func fixedKeys(text string) func(*rand.Rand) string { return func(*rand.Rand) string { return text } }

// oncePerRun holds the kinds of faults that a run has at most once. Two of the same kind could affect the
// same process, and a failure would then not be one of the program.
var oncePerRun = map[string]bool{"kill": true, "restart": true, "upgrade": true, "power_loss": true}

// faultGenerators are the generators that are drawn from. A kind can have several, with different keys.
var faultGenerators = []faultGenerator{
	{"kill", drawShare(0.1, 0.4), [2]float64{0.5, 2}},
	{"restart", drawVersions(drawKey("spread", 0, 2, drawShare(0.2, 0.7))), [2]float64{0.2, 1.5}},
	{"upgrade", drawKey("spread", 0, 2, drawShare(0.2, 0.7)), [2]float64{0, 0}},
	{"power_loss", drawShare(0.1, 0.3), [2]float64{0.5, 1.5}},
	{"reload", func(random *rand.Rand) string { return fmt.Sprintf("versions = %d\nshare = 0.8\n", 1+random.IntN(5)) }, [2]float64{0, 0}},
	{"hold_up", drawShare(0.2, 0.6), [2]float64{1, 4}},
	{"rude", drawShare(0.3, 1), [2]float64{1, 4}},
	{"crowd", func(random *rand.Rand) string {
		return fmt.Sprintf("clients = %d\n", 50+random.IntN(250)) + drawShare(0.1, 0.5)(random)
	}, [2]float64{2, 5}},
	{"costly", func(random *rand.Rand) string {
		return fmt.Sprintf("clients = %d\n", 1+random.IntN(20)) + drawShare(0.1, 0.3)(random)
	}, [2]float64{2, 5}},
	{"disk_full", drawShare(0.3, 1), [2]float64{1, 5}},
	{"nodo_kill", drawShare(0.1, 0.4), [2]float64{0.5, 3}},
	{"nodo_silent", drawShare(0.1, 0.4), [2]float64{0.5, 4}},
	{"nodo_hang", drawShare(0.1, 0.5), [2]float64{0.5, 4}},
	{"nodo_slow", drawKey("factor", 1.5, 4, drawShare(0.2, 0.6)), [2]float64{1, 4}},
	{"nodo_errors", drawKey("part", 0.1, 0.6, drawShare(0.2, 0.6)), [2]float64{1, 4}},
	{"nodo_garble", drawKey("part", 0.1, 0.6, drawShare(0.2, 0.6)), [2]float64{1, 4}},
	{"nodo_drain", drawKey("spread", 0, 1, drawShare(0.1, 0.5)), [2]float64{1, 3}},
	{"nodo_replace", drawKey("spread", 0, 2, drawShare(0.1, 0.5)), [2]float64{0, 0}},
	{"reset", fixedKeys("link = \"nodo\"\n"), [2]float64{0, 0.5}},
	{"reset", fixedKeys("link = \"list\"\n"), [2]float64{0, 0.5}},
	{"delay", drawKey("ms", 20, 300, fixedKeys("link = \"nodo\"\n")), [2]float64{0.5, 3}},
	{"delay", drawKey("ms", 50, 900, fixedKeys("link = \"list\"\n")), [2]float64{0.5, 3}},
	{"loss", drawKey("part", 0.02, 0.2, fixedKeys("link = \"nodo\"\n")), [2]float64{1, 3}},
	{"cut", fixedKeys("link = \"list\"\n"), [2]float64{0.5, 4}},
	{"list_down", fixedKeys(""), [2]float64{0.5, 5}},
	{"list_slow", drawKey("factor", 5, 60, fixedKeys("")), [2]float64{1, 4}},
}

// Text returns the text of a seed's experiment file, which is always the same for the same seed.
func Text(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 41))
	var out strings.Builder
	fmt.Fprintf(&out, "base = \"calm.toml\"\ntitle = \"soak, seed %d\"\nseconds = %g\nexpect = []\n", seed, loadSeconds)
	zones := drawZones(random)
	fmt.Fprintf(&out, "\n[load]\nrate = [[0, 20], [2, %d]]\n", 60+random.IntN(60))
	fmt.Fprintf(&out, "\n[lab]\nlate_ms = 200\nstall_ms = 1500\n")
	fmt.Fprintf(&out, "\n[clients]\nother_zones = %v\nleave_part = %.2f\n", random.IntN(2) == 0,
		maxCancelFraction*random.Float64()*float64(random.IntN(2)))
	fmt.Fprintf(&out, "\n[proxy]\nmembership = %q\n", []string{"automatic", "subscribe"}[random.IntN(2)])
	out.WriteString(zones)
	out.WriteString(drawClasses(random))
	out.WriteString(drawFaults(random))
	return out.String()
}

// drawZones draws the numbers of proxies and servers of the zones, and their traffic.
func drawZones(random *rand.Rand) string {
	low, high := minProxies, maxProxies
	if random.IntN(largeZonesOneIn) == 0 {
		low, high = minProxiesLarge, maxProxiesLarge
	}
	var out strings.Builder
	for _, zone := range []string{"monterrey", "queretaro", "guadalajara"} {
		proxies := low + random.IntN(high-low+1)
		fmt.Fprintf(&out, "\n[[zone]]\nname = %q\nproxies = %d\ntraffic = %.1f\n[[zone.nodos]]\ncount = %d\nspeed = 1.2\nslots = 3\nqueue = 12\n",
			zone, proxies, 0.5+random.Float64(), 3+random.IntN(4))
	}
	return out.String()
}

// drawFaults draws two or three faults around each moment of overlap.
func drawFaults(random *rand.Rand) string {
	var out strings.Builder
	used := map[string]bool{}
	for i := range overlapMoments {
		moment := earliestFault + (latestFault-earliestFault)*(float64(i)+random.Float64())/overlapMoments
		for range 2 + random.IntN(2) {
			fault := faultGenerators[random.IntN(len(faultGenerators))]
			if used[fault.kind] && oncePerRun[fault.kind] {
				continue
			}
			used[fault.kind] = true
			fmt.Fprintf(&out, "\n[[fault]]\nkind = %q\nat = %.2f\n", fault.kind, moment+overlapWindow*random.Float64())
			if seconds := fault.duration[0] + (fault.duration[1]-fault.duration[0])*random.Float64(); seconds > 0 {
				fmt.Fprintf(&out, "for = %.2f\n", seconds)
			}
			out.WriteString(fault.drawKeys(random))
		}
	}
	return out.String()
}

// drawClasses draws deadlines, deduplication windows and sizes for half of the seeds. Request bodies and
// responses can exceed the proxy's buffers.
func drawClasses(random *rand.Rand) string {
	if random.IntN(2) == 0 {
		return ""
	}
	body, response := 600<<random.IntN(10), 2000<<random.IntN(8)
	scope := []string{"all", "zone", "cell"}[random.IntN(3)]
	deadline := 500 + random.IntN(1500)
	return fmt.Sprintf("\n[[class]]\nname = \"alta-tarifa\"\nshare = 0.4\nwork_ms = [20, 60]\naim_ms = %[1]d\ngive_up_ms = %[1]d\n"+
		"worth = 10\nrepeat = \"at_most_once\"\nbody_bytes = [100, %[2]d]\nanswer_bytes = [200, %[3]d]\n"+
		"\n[[class]]\nname = \"lectura\"\nshare = 0.4\nwork_ms = [20, 60]\naim_ms = %[1]d\ngive_up_ms = %[1]d\nworth = 3\n"+
		"repeat = \"deduplicated\"\nscope = %[4]q\nwindow_ms = %[5]d\nbody_bytes = [100, %[2]d]\n"+
		"\n[[class]]\nname = \"consulta\"\nshare = 0.2\nwork_ms = [5, 30]\naim_ms = %[1]d\ngive_up_ms = %[1]d\nworth = 1\n"+
		"repeat = \"idempotent\"\nanswer_bytes = [500, %[3]d]\n", deadline, body, response, scope,
		300+random.IntN(3000))
}

// Draw returns the experiment of a seed and the text of its file.
func Draw(seed uint64) (*experiment.Experiment, string, error) {
	text := Text(seed)
	parsed, err := experiment.Parse(fmt.Sprintf("soak-%d.toml", seed), text, experiments.Files.ReadFile)
	return parsed, text, err
}
