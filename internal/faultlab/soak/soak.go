// Package soak draws whole experiments from a seed: fleets of some size, and troubles of any kinds that overlap in twos and
// threes. What a run is judged by is not its metrics but its rules: the referee's, those that the proxies themselves saw
// broken, and what their logs show of a crash.
package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"

	"merlinpick/experiments"
	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/result"
)

const (
	loadSeconds     = 18.0
	latestFault     = 13.0 // seconds; what begins later has no time to show
	overlaps        = 3    // moments at which troubles meet
	maxLeavePart    = 0.3  // of the tries\' clients leave before their answer, in half of the seeds
	overlapWindow   = 0.8  // seconds between troubles that meet
	minProxies      = 3    // proxies of a zone, from
	maxProxies      = 5    // to; but for
	largeOneIn      = 4    // one seed in so many, which has
	minProxiesLarge = 8    // from
	maxProxiesLarge = 13   // to
)

// trouble is a kind of fault with how its metrics are drawn.
type faultKind struct {
	kind     string
	drawKeys func(r *rand.Rand) string
	duration [2]float64 // seconds, from and to
}

func drawShare(low, high float64) func(*rand.Rand) string {
	return func(r *rand.Rand) string { return fmt.Sprintf("share = %.2f\n", low+(high-low)*r.Float64()) }
}

// with draws a figure beside a share.
func drawKey(key string, low, high float64, also func(*rand.Rand) string) func(*rand.Rand) string {
	return func(r *rand.Rand) string {
		return fmt.Sprintf("%s = %.2f\n", key, low+(high-low)*r.Float64()) + also(r)
	}
}

// series has some of the restarts get further signals while they end.
func drawVersions(also func(*rand.Rand) string) func(*rand.Rand) string {
	return func(r *rand.Rand) string {
		signals := ""
		if n := r.IntN(5); n > 0 {
			signals = fmt.Sprintf("versions = %d\n", n)
		}
		return signals + also(r)
	}
}

func fixedKeys(text string) func(*rand.Rand) string { return func(*rand.Rand) string { return text } }

// onceOnly are the troubles that a run has once: two of them on one process would be the lab's own doing.
var oncePerRun = map[string]bool{"kill": true, "restart": true, "upgrade": true, "power_loss": true}

var faultKinds = []faultKind{
	{"kill", drawShare(0.1, 0.4), [2]float64{0.5, 2}},
	{"restart", drawVersions(drawKey("spread", 0, 2, drawShare(0.2, 0.7))), [2]float64{0.2, 1.5}},
	{"upgrade", drawKey("spread", 0, 2, drawShare(0.2, 0.7)), [2]float64{0, 0}},
	{"power_loss", drawShare(0.1, 0.3), [2]float64{0.5, 1.5}},
	{"reload", func(r *rand.Rand) string { return fmt.Sprintf("versions = %d\nshare = 0.8\n", 1+r.IntN(5)) }, [2]float64{0, 0}},
	{"hold_up", drawShare(0.2, 0.6), [2]float64{1, 4}},
	{"rude", drawShare(0.3, 1), [2]float64{1, 4}},
	{"crowd", func(r *rand.Rand) string {
		return fmt.Sprintf("clients = %d\n", 50+r.IntN(250)) + drawShare(0.1, 0.5)(r)
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

// Text draws an experiment's file.
func Text(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 41))
	var b strings.Builder
	fmt.Fprintf(&b, "base = \"calm.toml\"\ntitle = \"soak, seed %d\"\nseconds = %g\nexpect = []\n", seed, loadSeconds)
	least, most := minProxies, maxProxies
	if r.IntN(largeOneIn) == 0 {
		least, most = minProxiesLarge, maxProxiesLarge
	}
	var zones strings.Builder
	for _, z := range []string{"monterrey", "queretaro", "guadalajara"} {
		n := least + r.IntN(most-least+1)
		fmt.Fprintf(&zones, "\n[[zone]]\nname = %q\nproxies = %d\ntraffic = %.1f\n[[zone.nodos]]\ncount = %d\nspeed = 1.2\nslots = 3\nqueue = 12\n",
			z, n, 0.5+r.Float64(), 3+r.IntN(4))
	}
	fmt.Fprintf(&b, "\n[load]\nrate = [[0, 20], [2, %d]]\n", 60+r.IntN(60))
	fmt.Fprintf(&b, "\n[lab]\nlate_ms = 200\nstall_ms = 1500\n")
	fmt.Fprintf(&b, "\n[clients]\nother_zones = %v\nleave_part = %.2f\n", r.IntN(2) == 0, maxLeavePart*r.Float64()*float64(r.IntN(2)))
	fmt.Fprintf(&b, "\n[proxy]\nmembership = %q\n", []string{"automatic", "subscribe"}[r.IntN(2)])
	b.WriteString(zones.String())
	b.WriteString(drawClasses(r))
	used := map[string]bool{}
	for c := range overlaps {
		centre := 3 + (latestFault-3)*(float64(c)+r.Float64())/overlaps
		for range 2 + r.IntN(2) {
			t := faultKinds[r.IntN(len(faultKinds))]
			if used[t.kind] && oncePerRun[t.kind] {
				continue
			}
			used[t.kind] = true
			fmt.Fprintf(&b, "\n[[fault]]\nkind = %q\nat = %.2f\n", t.kind, centre+overlapWindow*r.Float64())
			if d := t.duration[0] + (t.duration[1]-t.duration[0])*r.Float64(); d > 0 {
				fmt.Fprintf(&b, "for = %.2f\n", d)
			}
			b.WriteString(t.drawKeys(r))
		}
	}
	return b.String()
}

// classes draws other deadlines, windows and sizes for half of the seeds: bodies beyond what a proxy holds, answers beyond
// what it takes whole.
func drawClasses(r *rand.Rand) string {
	if r.IntN(2) == 0 {
		return ""
	}
	body, answer := 600<<r.IntN(10), 2000<<r.IntN(8)
	scope := []string{"all", "zone", "cell"}[r.IntN(3)]
	giveUp := 500 + r.IntN(1500)
	return fmt.Sprintf("\n[[class]]\nname = \"alta-tarifa\"\nshare = 0.4\nwork_ms = [20, 60]\naim_ms = %[1]d\ngive_up_ms = %[1]d\n"+
		"worth = 10\nrepeat = \"at_most_once\"\nbody_bytes = [100, %[2]d]\nanswer_bytes = [200, %[3]d]\n"+
		"\n[[class]]\nname = \"lectura\"\nshare = 0.4\nwork_ms = [20, 60]\naim_ms = %[1]d\ngive_up_ms = %[1]d\nworth = 3\n"+
		"repeat = \"deduplicated\"\nscope = %[4]q\nwindow_ms = %[5]d\nbody_bytes = [100, %[2]d]\n"+
		"\n[[class]]\nname = \"consulta\"\nshare = 0.2\nwork_ms = [5, 30]\naim_ms = %[1]d\ngive_up_ms = %[1]d\nworth = 1\n"+
		"repeat = \"idempotent\"\nanswer_bytes = [500, %[3]d]\n", giveUp, body, answer, scope, 300+r.IntN(3000))
}

// Draw draws an experiment.
func Draw(seed uint64) (*experiment.Experiment, string, error) {
	text := Text(seed)
	e, err := experiment.Parse(fmt.Sprintf("soak-%d.toml", seed), text, experiments.Files.ReadFile)
	return e, text, err
}

// signs are what a proxy's log shows of a fault in the program.
var failurePatterns = []string{`msg="rule broken"`, "panic:", "fatal error:", "WARNING: DATA RACE", "panic serving"}

// Faults are what is wrong with a play: broken rules, crashes, and lines of the proxies' logs below dir.
func Failures(p result.Play, dir string) (found []string, err error) {
	for rule, n := range p.ViolationCounts {
		if n > 0 {
			found = append(found, fmt.Sprintf("%s broken %d times", rule, n))
		}
	}
	for _, v := range p.Violations {
		found = append(found, fmt.Sprintf("%s at %s by %s (nodo %s, try %s): %s", v.Rule, v.At.Format("15:04:05.000"), v.Proxy, v.Server, v.Attempt, v.Text))
	}
	if n := p.Metrics["crashed"]; n > 0 {
		found = append(found, fmt.Sprintf("%v proxies crashed", n))
	}
	logs, err := filepath.Glob(filepath.Join(dir, "logs", "*.log"))
	if err != nil {
		return nil, err
	}
	for _, path := range logs {
		lines, err := scanLog(path)
		if err != nil {
			return nil, err
		}
		found = append(found, lines...)
	}
	return found, nil
}

func scanLog(path string) (found []string, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		for _, sign := range failurePatterns {
			if strings.Contains(lines.Text(), sign) {
				found = append(found, filepath.Base(path)+": "+lines.Text())
			}
		}
	}
	return found, lines.Err()
}
