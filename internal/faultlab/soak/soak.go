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
	seconds    = 18.0
	lastFault  = 13.0 // seconds; what begins later has no time to show
	crossings  = 3    // moments at which troubles meet
	leaveMost  = 0.3  // of the tries\' clients leave before their answer, in half of the seeds
	meetWithin = 0.8  // seconds between troubles that meet
	fewLeast   = 3    // proxies of a zone, from
	fewMost    = 5    // to; but for
	manyOf     = 4    // one seed in so many, which has
	manyLeast  = 8    // from
	manyMost   = 13   // to
)

// trouble is a kind of fault with how its metrics are drawn.
type fault struct {
	kind  string
	keys  func(r *rand.Rand) string
	lasts [2]float64 // seconds, from and to
}

func share(low, high float64) func(*rand.Rand) string {
	return func(r *rand.Rand) string { return fmt.Sprintf("share = %.2f\n", low+(high-low)*r.Float64()) }
}

// with draws a figure beside a share.
func with(key string, low, high float64, also func(*rand.Rand) string) func(*rand.Rand) string {
	return func(r *rand.Rand) string {
		return fmt.Sprintf("%s = %.2f\n", key, low+(high-low)*r.Float64()) + also(r)
	}
}

// series has some of the restarts get further signals while they end.
func series(also func(*rand.Rand) string) func(*rand.Rand) string {
	return func(r *rand.Rand) string {
		signals := ""
		if n := r.IntN(5); n > 0 {
			signals = fmt.Sprintf("versions = %d\n", n)
		}
		return signals + also(r)
	}
}

func links(text string) func(*rand.Rand) string { return func(*rand.Rand) string { return text } }

// onceOnly are the troubles that a run has once: two of them on one process would be the lab's own doing.
var onceOnly = map[string]bool{"kill": true, "restart": true, "upgrade": true, "power_loss": true}

var troubles = []fault{
	{"kill", share(0.1, 0.4), [2]float64{0.5, 2}},
	{"restart", series(with("spread", 0, 2, share(0.2, 0.7))), [2]float64{0.2, 1.5}},
	{"upgrade", with("spread", 0, 2, share(0.2, 0.7)), [2]float64{0, 0}},
	{"power_loss", share(0.1, 0.3), [2]float64{0.5, 1.5}},
	{"reload", func(r *rand.Rand) string { return fmt.Sprintf("versions = %d\nshare = 0.8\n", 1+r.IntN(5)) }, [2]float64{0, 0}},
	{"hold_up", share(0.2, 0.6), [2]float64{1, 4}},
	{"rude", share(0.3, 1), [2]float64{1, 4}},
	{"crowd", func(r *rand.Rand) string { return fmt.Sprintf("clients = %d\n", 50+r.IntN(250)) + share(0.1, 0.5)(r) }, [2]float64{2, 5}},
	{"disk_full", share(0.3, 1), [2]float64{1, 5}},
	{"nodo_kill", share(0.1, 0.4), [2]float64{0.5, 3}},
	{"nodo_silent", share(0.1, 0.4), [2]float64{0.5, 4}},
	{"nodo_hang", share(0.1, 0.5), [2]float64{0.5, 4}},
	{"nodo_slow", with("factor", 1.5, 4, share(0.2, 0.6)), [2]float64{1, 4}},
	{"nodo_errors", with("part", 0.1, 0.6, share(0.2, 0.6)), [2]float64{1, 4}},
	{"nodo_garble", with("part", 0.1, 0.6, share(0.2, 0.6)), [2]float64{1, 4}},
	{"nodo_drain", with("spread", 0, 1, share(0.1, 0.5)), [2]float64{1, 3}},
	{"nodo_replace", with("spread", 0, 2, share(0.1, 0.5)), [2]float64{0, 0}},
	{"reset", links("link = \"nodo\"\n"), [2]float64{0, 0.5}},
	{"reset", links("link = \"list\"\n"), [2]float64{0, 0.5}},
	{"delay", with("ms", 20, 300, links("link = \"nodo\"\n")), [2]float64{0.5, 3}},
	{"delay", with("ms", 50, 900, links("link = \"list\"\n")), [2]float64{0.5, 3}},
	{"loss", with("part", 0.02, 0.2, links("link = \"nodo\"\n")), [2]float64{1, 3}},
	{"cut", links("link = \"list\"\n"), [2]float64{0.5, 4}},
	{"list_down", links(""), [2]float64{0.5, 5}},
	{"list_slow", with("factor", 5, 60, links("")), [2]float64{1, 4}},
}

// Text draws an experiment's file.
func Text(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 41))
	var b strings.Builder
	fmt.Fprintf(&b, "base = \"calm.toml\"\ntitle = \"soak, seed %d\"\nseconds = %g\nexpect = []\n", seed, seconds)
	least, most := fewLeast, fewMost
	if r.IntN(manyOf) == 0 {
		least, most = manyLeast, manyMost
	}
	var zones strings.Builder
	for _, z := range []string{"monterrey", "queretaro", "guadalajara"} {
		n := least + r.IntN(most-least+1)
		fmt.Fprintf(&zones, "\n[[zone]]\nname = %q\nproxies = %d\ntraffic = %.1f\n[[zone.nodos]]\ncount = %d\nspeed = 1.2\nslots = 3\nqueue = 12\n",
			z, n, 0.5+r.Float64(), 3+r.IntN(4))
	}
	fmt.Fprintf(&b, "\n[load]\nrate = [[0, 20], [2, %d]]\n", 60+r.IntN(60))
	fmt.Fprintf(&b, "\n[lab]\nlate_ms = 200\nstall_ms = 1500\n")
	fmt.Fprintf(&b, "\n[clients]\nother_zones = %v\nleave_part = %.2f\n", r.IntN(2) == 0, leaveMost*r.Float64()*float64(r.IntN(2)))
	fmt.Fprintf(&b, "\n[proxy]\nmembership = %q\n", []string{"automatic", "subscribe"}[r.IntN(2)])
	b.WriteString(zones.String())
	b.WriteString(classes(r))
	used := map[string]bool{}
	for c := range crossings {
		centre := 3 + (lastFault-3)*(float64(c)+r.Float64())/crossings
		for range 2 + r.IntN(2) {
			t := troubles[r.IntN(len(troubles))]
			if used[t.kind] && onceOnly[t.kind] {
				continue
			}
			used[t.kind] = true
			fmt.Fprintf(&b, "\n[[fault]]\nkind = %q\nat = %.2f\n", t.kind, centre+meetWithin*r.Float64())
			if d := t.lasts[0] + (t.lasts[1]-t.lasts[0])*r.Float64(); d > 0 {
				fmt.Fprintf(&b, "for = %.2f\n", d)
			}
			b.WriteString(t.keys(r))
		}
	}
	return b.String()
}

// classes draws other deadlines, windows and sizes for half of the seeds: bodies beyond what a proxy holds, answers beyond
// what it takes whole.
func classes(r *rand.Rand) string {
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
var signs = []string{`msg="rule broken"`, "panic:", "fatal error:", "WARNING: DATA RACE", "panic serving"}

// Faults are what is wrong with a play: broken rules, crashes, and lines of the proxies' logs below dir.
func Faults(p result.Play, dir string) (found []string, err error) {
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
		lines, err := scan(path)
		if err != nil {
			return nil, err
		}
		found = append(found, lines...)
	}
	return found, nil
}

func scan(path string) (found []string, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		for _, sign := range signs {
			if strings.Contains(lines.Text(), sign) {
				found = append(found, filepath.Base(path)+": "+lines.Text())
			}
		}
	}
	return found, lines.Err()
}
