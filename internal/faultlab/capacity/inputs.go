// Package capacity works out what each role costs at the size to plan for, from numbers as set (docs/capacity/numbers.toml),
// slopes as measured (docs/capacity/slopes/*.toml) and duties as they stand (docs/capacity/duties.toml), and writes the
// tables of docs/CAPACITY.md. It measures nothing itself; Fit turns what somebody measured into a slope.
//
// The rule of its words, for a figure with a budget at a size:
//
//   - measured: a run had that size; between: it lies within the range measured, on the straight line between its neighbours;
//     worked out: it lies beyond, on the least-squares line of a slope that is straight; not straight: it lies beyond, and
//     no line is drawn there.
//   - carried: the value and its worst (the most measured there, or the steepest repeat) are within the budget, and it is
//     measured, between, or worked out from a straight slope whose range reaches at least a third of the size (Reach).
//   - over: the value is above the budget and measured, between, or worked out from a straight slope; or a smaller size that was
//     measured is above it already.
//     Below what was measured the same holds down to a third of the smallest size, and beneath that a figure that grows is
//     carried where the smallest size measured is within the budget, and else unproven.
//   - unproven: neither, not straight, or no slope at all.
//   - absent: no code carries the duty, as duties.toml says.
package capacity

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"path"
	"slices"

	"github.com/BurntSushi/toml"
)

// Roles are the rows of docs/CAPACITY.md, in its order.
var Roles = []string{
	"proxy carrying calls", "proxy following lists", "proxy as a member of a fleet", "nodo keeping its lease",
	"list member as leader", "list member as follower", "the five machines", "links between regions",
}

// Problem is a fault of a file: where, what, and what to do about it.
type FileError struct {
	File, Key, Reason string
}

func (p *FileError) Error() string { return p.File + ": " + p.Key + ": " + p.Reason }

// Letter is the size to plan for, in the operators' words.
type TargetSize struct {
	Servers        float64 `toml:"nodos"`
	Services       float64 `toml:"services"`
	Regions        float64 `toml:"regions"`
	Zones          float64 `toml:"zones"`
	CallsPerSecond float64 `toml:"calls_per_second"`
	CallDepth      float64 `toml:"call_depth"`
	ChangesPerDay  float64 `toml:"changes_per_day"`
	RolloutSeconds float64 `toml:"in_force_s"`
	Machines       float64 `toml:"machines"`
	FailuresPerDay float64 `toml:"fails_per_day"`
	RestartsPerDay float64 `toml:"restarts_per_day"`
	ServersPerRack float64 `toml:"rack"`
	ServersPerZone float64 `toml:"zone"`
}

// Assumption is a number that the letter leaves open.
type Assumption struct {
	Key    string  `toml:"key"`
	Unit   string  `toml:"unit"`
	Low    float64 `toml:"low"`
	Likely float64 `toml:"likely"`
	High   float64 `toml:"high"`
	Why    string  `toml:"why"`
}

// Budget is the limit of one class of metrics of a role. With Figures it holds for those alone that have one of these words.
type Budget struct {
	Role    string   `toml:"role"`
	Class   string   `toml:"class"`
	Unit    string   `toml:"unit"`
	Source  string   `toml:"from"`
	Value   float64  `toml:"value"`
	Metrics []string `toml:"figures"`
}

// Numbers are what is set.
type Inputs struct {
	Target      TargetSize   `toml:"letter"`
	Assumptions []Assumption `toml:"assumption"`
	Budgets     []Budget     `toml:"budget"`
}

// decode reads a file into v and refuses keys that v has no place for.
func decodeStrict(files fs.FS, name string, v any) (toml.MetaData, error) {
	text, err := fs.ReadFile(files, name)
	if err != nil {
		return toml.MetaData{}, fmt.Errorf("%s: %w", name, err)
	}
	meta, err := toml.Decode(string(text), v)
	if err != nil {
		return meta, &FileError{name, "the file", err.Error()}
	}
	var found []error
	for _, k := range meta.Undecoded() {
		found = append(found, &FileError{name, k.String(), "no such key"})
	}
	return meta, errors.Join(found...)
}

// ReadNumbers reads numbers.toml.
func ReadInputs(files fs.FS) (*Inputs, error) {
	const name = "numbers.toml"
	n := &Inputs{}
	meta, err := decodeStrict(files, name, n)
	if err != nil {
		return nil, err
	}
	var found []error
	bad := func(key, format string, args ...any) {
		found = append(found, &FileError{name, key, fmt.Sprintf(format, args...)})
	}
	for key, v := range n.targetValues() {
		if !meta.IsDefined("letter", key) || !(v > 0) {
			bad("letter."+key, "a number over 0 is needed")
		}
	}
	seen := map[string]bool{}
	for i, a := range n.Assumptions {
		key := fmt.Sprintf("assumption[%d] %q", i+1, a.Key)
		if a.Key == "" || a.Unit == "" || a.Why == "" || seen[a.Key] {
			bad(key, "key, unit and why are needed, and each key once")
		}
		if !(a.Low >= 0 && a.Low <= a.Likely && a.Likely <= a.High) {
			bad(key, "0 <= low <= likely <= high is needed, not %v, %v, %v", a.Low, a.Likely, a.High)
		}
		seen[a.Key] = true
	}
	for _, key := range assumptionKeys {
		if !seen[key] {
			bad("assumption", "%q is missing", key)
		}
	}
	for key := range seen {
		if !slices.Contains(assumptionKeys, key) {
			bad("assumption", "%q is used nowhere; known are %v", key, assumptionKeys)
		}
	}
	for i, b := range n.Budgets {
		key := fmt.Sprintf("budget[%d]", i+1)
		if !slices.Contains(Roles, b.Role) {
			bad(key+".role", "%q is none of %q", b.Role, Roles)
		}
		if u, ok := units[b.Unit]; !ok || u.class != b.Class || displayUnits[b.Class] != b.Unit {
			bad(key+".unit", "%q: a budget of class %q is given in %q", b.Unit, b.Class, displayUnits[b.Class])
		}
		if !(b.Value > 0) || b.Source == "" {
			bad(key, "a value over 0 and from, letter or ours and why, are needed")
		}
	}
	slices.SortFunc(found, func(a, b error) int { return compare(a.Error(), b.Error()) })
	return n, errors.Join(found...)
}

// letter are the letter's numbers by key.
func (n *Inputs) targetValues() map[string]float64 {
	l := n.Target
	return map[string]float64{"nodos": l.Servers, "services": l.Services, "regions": l.Regions, "zones": l.Zones,
		"calls_per_second": l.CallsPerSecond, "call_depth": l.CallDepth, "changes_per_day": l.ChangesPerDay,
		"in_force_s": l.RolloutSeconds, "machines": l.Machines, "fails_per_day": l.FailuresPerDay,
		"restarts_per_day": l.RestartsPerDay, "rack": l.ServersPerRack, "zone": l.ServersPerZone}
}

// assumed are the assumptions that the arithmetic uses.
var assumptionKeys = []string{"services_called", "lease_s", "config_bytes", "config_burst", "changes_per_restart", "release_part",
	"calls_peak", "members_lost"}

// Range is a value with the assumptions low, likely and high.
type Range struct{ Low, Likely, High float64 }

func constantRange(v float64) Range { return Range{v, v, v} }

func (r Range) transform(f func(float64) float64) Range {
	return Range{f(r.Low), f(r.Likely), f(r.High)}
}

func (r Range) values() [3]float64 { return [3]float64{r.Low, r.Likely, r.High} }

// is tells whether the three are one.
func (r Range) isConstant() bool { return r.Low == r.Likely && r.Likely == r.High }

func (n *Inputs) assumption(key string) Range {
	for _, a := range n.Assumptions {
		if a.Key == key {
			return Range{a.Low, a.Likely, a.High}
		}
	}
	panic("an assumption that was not checked: " + key)
}

const (
	daySeconds       = 24 * 60 * 60
	renewalsPerLease = 3 // in a lease: internal/registry/registrar
	minutesPerDay    = daySeconds / 60
)

// A dimension is what grows, at the letter's size, and whether it doubles with the number of servers.
type dimension struct {
	size              func(n *Inputs) Range
	scalesWithServers bool
	description       string
}

var dimensions = map[string]dimension{
	"proxies": {func(n *Inputs) Range { return constantRange(n.Target.Servers) }, true, "one beside each nodo"},
	"nodos":   {func(n *Inputs) Range { return constantRange(n.Target.Servers) }, true, "as the letter has it"},
	"listed nodos": {func(n *Inputs) Range {
		r := n.assumption("services_called").transform(func(v float64) float64 { return min(v*n.Target.Servers/n.Target.Services, n.Target.Servers) })
		return Range{r.Low, n.Target.Servers, n.Target.Servers}
	}, true, "in the list that a proxy follows: one list holds all today (likely, high); one service's alone (low)"},
	"changes a minute": {func(n *Inputs) Range {
		day := (n.Target.FailuresPerDay + n.Target.RestartsPerDay) * n.assumption("changes_per_restart").Likely / minutesPerDay
		part, each := n.assumption("release_part"), n.assumption("changes_per_restart")
		return Range{day, part.Low * n.Target.Servers * each.Likely, part.High * n.Target.Servers * each.High}
	}, true, "of the list: an ordinary day's mean (low), one service released within a minute (likely), the greatest release within one (high)"},
	"changes of configuration a minute": {func(n *Inputs) Range {
		r := n.assumption("config_burst")
		return Range{n.Target.ChangesPerDay / minutesPerDay, r.Likely, r.High}
	}, false, "the day's mean (low), a busy minute"},
	"changes": {func(n *Inputs) Range { return constantRange(n.Target.ChangesPerDay) }, false, "of configuration, one after another: a day's"},
	"calls a second": {func(n *Inputs) Range {
		return n.assumption("calls_peak").transform(func(v float64) float64 { return v * n.Target.CallsPerSecond / n.Target.Servers })
	}, false, "of one proxy"},
	"services": {func(n *Inputs) Range { return constantRange(n.Target.Services) }, true, "as the letter has it"},
	"zones":    {func(n *Inputs) Range { return constantRange(n.Target.Zones) }, false, "as the letter has it"},
	"regions":  {func(n *Inputs) Range { return constantRange(n.Target.Regions) }, false, "as the letter has it"},
	"members":  {func(n *Inputs) Range { return constantRange(n.Target.Machines) }, false, "of the list service, one on each machine"},
	"watches": {func(n *Inputs) Range {
		return n.assumption("members_lost").transform(func(v float64) float64 { return n.Target.Servers / (n.Target.Machines - v) })
	}, true, "held by one member, the proxies spread over those that live"},
	"renewals a second": {func(n *Inputs) Range {
		r := n.assumption("lease_s")
		return Range{r.High, r.Likely, r.Low}.transform(func(v float64) float64 { return renewalsPerLease * n.Target.Servers / v })
	}, true, "at the leader, from all nodos: 3 in a lease; the longest lease is low"},
	"renewals a second of a nodo": {func(n *Inputs) Range {
		r := n.assumption("lease_s")
		return Range{r.High, r.Likely, r.Low}.transform(func(v float64) float64 { return renewalsPerLease / v })
	}, false, "3 in a lease; the longest lease is low"},
}

// Size is what grows at the letter's size, or with twice at twice its servers.
func (n *Inputs) Size(of string, twice bool) Range {
	d := dimensions[of]
	r := d.size(n)
	if twice && d.scalesWithServers {
		r = r.transform(func(v float64) float64 { return 2 * v })
	}
	return r
}

// known are the names of all that grows.
func dimensionNames() []string { return slices.Sorted(maps.Keys(dimensions)) }

// slopeFiles are the files of slopes.
func slopeFiles(files fs.FS) ([]string, error) {
	names, err := fs.Glob(files, path.Join("slopes", "*.toml"))
	slices.Sort(names)
	return names, err
}
