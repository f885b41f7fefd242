package capacity

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"slices"
	"strings"
	"text/template"
)

// Duty is one thing that a role does, and what carries it.
type Duty struct {
	Key             string   `toml:"key"`       // the first word of its slopes' names
	Role            string   `toml:"role"`      // one of Roles
	Description     string   `toml:"duty"`      // in words
	Mechanism       string   `toml:"mechanism"` // the package that carries it
	State           string   `toml:"state"`     // bytes of what; a template over the arithmetic
	TypicalRate     string   `toml:"ordinary"`  // messages a second, likewise
	PeakRate        string   `toml:"worst"`     // and in the worst minute
	RequiredClasses []string `toml:"needs"`     // classes without which it is unproven
	DecidingSlope   string   `toml:"decides"`   // the slope that says from which size it is over; empty: the first to pass its budget
	AbsentReason    string   `toml:"absent"`    // why no code carries it; empty: some does
	RequestedBy     string   `toml:"asks"`      // the number of the letter that asks for it
	Fallback        string   `toml:"instead"`   // what serves in place of one that is absent, or why it may wait
}

// Sum adds metrics up to a budget: a proxy's control is all that it does for control.
type Sum struct {
	Title      string   `toml:"what"`
	Role       string   `toml:"role"` // whose budget it is
	Class      string   `toml:"class"`
	SlopeNames []string `toml:"parts"` // names of slopes; one that nobody has recorded leaves the sum unproven
}

// Failure is what one failure costs: templates over the arithmetic.
type Failure struct {
	Event       string `toml:"what"`
	Detection   string `toml:"known"`
	StillServed string `toml:"serves"`
	Impact      string `toml:"lost"`
	TestResult  string `toml:"played"` // what a run gave, and at which size
}

// Figure is a single figure of a run, where no slope is meant.
type Measurement struct {
	Name    string  `toml:"name"`
	Unit    string  `toml:"unit"`
	Value   float64 `toml:"value"`
	Commit  string  `toml:"commit"`
	Machine string  `toml:"machine"`
	Command string  `toml:"command"`
	Note    string  `toml:"note"`
}

type dutyFile struct {
	Duties       []Duty        `toml:"duty"`
	Sums         []Sum         `toml:"sum"`
	Failures     []Failure     `toml:"failure"`
	Measurements []Measurement `toml:"figure"`
}

func readDuties(files fs.FS) (*dutyFile, error) {
	const name = "duties.toml"
	d := &dutyFile{}
	if _, err := decodeStrict(files, name, d); err != nil {
		return nil, err
	}
	var found []error
	bad := func(key, format string, args ...any) {
		found = append(found, &FileError{name, key, fmt.Sprintf(format, args...)})
	}
	seen := map[string]bool{}
	for i, x := range d.Duties {
		key := fmt.Sprintf("duty[%d] %q of %q", i+1, x.Key, x.Role)
		if !slices.Contains(Roles, x.Role) {
			bad(key, "role: none of %q", Roles)
		}
		if x.Key == "" || strings.Contains(x.Key, ".") || seen[x.Key+x.Role] {
			bad(key, "key: the first word of slopes' names, once for each role")
		}
		seen[x.Key+x.Role] = true
		if x.Description == "" || x.State == "" || x.TypicalRate == "" || x.PeakRate == "" || x.Mechanism == "" {
			bad(key, "duty, mechanism, state, ordinary and worst are needed")
		}
		if x.AbsentReason != "" && x.RequestedBy == "" {
			bad(key, "asks: which number of the letter asks for what is absent")
		}
		if x.AbsentReason == "" && len(x.RequiredClasses) == 0 {
			bad(key, "needs: the classes without which it is unproven")
		}
		for _, c := range x.RequiredClasses {
			if _, ok := displayUnits[c]; !ok {
				bad(key, "needs: %q is no class", c)
			}
		}
	}
	for i, f := range d.Measurements {
		if f.Name == "" || f.Unit == "" || !isCommit(f.Commit) || f.Machine == "" || f.Command == "" {
			bad(fmt.Sprintf("figure[%d] %q", i+1, f.Name), "name, value, unit, commit, machine and command are needed")
		}
	}
	for i, s := range d.Sums {
		if s.Title == "" || len(s.SlopeNames) == 0 || displayUnits[s.Class] == "" {
			bad(fmt.Sprintf("sum[%d] %q", i+1, s.Title), "what, role, class and parts are needed")
		}
	}
	for i, f := range d.Failures {
		if f.Event == "" || f.Detection == "" || f.StillServed == "" || f.Impact == "" || f.TestResult == "" {
			bad(fmt.Sprintf("failure[%d] %q", i+1, f.Event), "what, known, serves, lost and played are needed")
		}
	}
	return d, errors.Join(found...)
}

// Page is all that the page is worked out from.
type Model struct {
	*Inputs
	*dutyFile
	Slopes []*Slope
}

// Read reads the folder docs/capacity.
func Read(files fs.FS) (*Model, error) {
	n, err := ReadInputs(files)
	s, err2 := ReadSlopes(files)
	d, err3 := readDuties(files)
	if err := errors.Join(err, err2, err3); err != nil {
		return nil, err
	}
	p := &Model{n, d, s}
	for _, x := range d.Duties {
		if s := p.slope(x.DecidingSlope); x.DecidingSlope != "" && (s == nil || s.DutyKey() != x.Key || s.Role != x.Role) {
			return nil, &FileError{"duties.toml", fmt.Sprintf("duty %q of %q", x.Key, x.Role), fmt.Sprintf("decides: no slope %q of this duty and role is recorded", x.DecidingSlope)}
		}
	}
	return p, nil
}

func (p *Model) slope(name string) *Slope {
	for _, s := range p.Slopes {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// budget is the limit of a role's figure; false if there is none.
func (p *Model) budget(role, class, figure string) (Budget, bool) {
	for _, b := range p.Budgets {
		has := func(word string) bool { return strings.Contains(strings.ToLower(figure), word) }
		if b.Role == role && b.Class == class && (len(b.Metrics) == 0 || slices.ContainsFunc(b.Metrics, has)) {
			return b, true
		}
	}
	return Budget{}, false
}

// constants are those of the program that the page's texts use. They stand here again, since tests of the packages that have
// them record slopes; TestConstants compares.
var programConstants = map[string]float64{
	"hold_s":         4,     // a watch waits for news: internal/discovery
	"spread_s":       0.6,   // before another member is asked: internal/discovery
	"pause_most_s":   5,     // between calls when no member answers: internal/discovery
	"settle_s":       0.05,  // between two wake-ups: internal/registry/watch
	"poll_s":         0.25,  // between two proofs of freshness: internal/registry/raftnode
	"tick_s":         0.1,   // between two looks at the leases: internal/registry/raftnode
	"stale_s":        2,     // internal/registry/config
	"lease_part":     0.25,  // internal/registry/lease
	"lease_pace":     0.1,   // internal/registry/lease
	"changes_kept":   4096,  // internal/registry/state
	"document_most":  65536, // internal/settings
	"retry_least_ms": 25,    // half of the least pause: internal/registry/registrar
	"retry_most_ms":  600,   // once and a half the longest: internal/registry/registrar
}

// expand fills a text of duties.toml in.
func (p *Model) expand(text string) (string, error) {
	t, err := template.New("").Option("missingkey=error").Funcs(template.FuncMap{
		"num": formatNumber,
		"mul": func(v ...float64) float64 {
			out := 1.
			for _, x := range v {
				out *= x
			}
			return out
		},
		"div":   func(a, b float64) float64 { return a / b },
		"add":   func(a, b float64) float64 { return a + b },
		"sub":   func(a, b float64) float64 { return a - b },
		"floor": math.Floor,
		// a quantity of a class in its own unit
		"mem": func(v float64) string { return formatQuantity(v/1e6, classMemory) },
		// a slope at the letter's size
		"value": func(name string) string {
			if s := p.slope(name); s != nil {
				size := p.Size(s.Dimension, false).Likely
				v, _, how := s.At(size)
				if how == Nonlinear {
					return "not known at this size"
				}
				return formatQuantity(v, s.Class()) + pick2(how == Extrapolated, " (worked out)", "")
			}
			return "not measured"
		},
		// a slope at some size, in the class's own unit
		"at": func(name string, size float64) (float64, error) {
			s := p.slope(name)
			if s == nil {
				return 0, fmt.Errorf("no slope %q is recorded", name)
			}
			v, _, how := s.At(size)
			if how == Nonlinear {
				return 0, fmt.Errorf("slope %q is not straight: nothing is known of it at %v", name, size)
			}
			return v, nil
		},
		"figure": func(name string) string {
			for _, f := range p.Measurements {
				if f.Name == name {
					return formatNumber(f.Value) + " " + f.Unit
				}
			}
			return "(not measured)"
		},
	}).Parse(text)
	if err != nil {
		return "", &FileError{"duties.toml", text, err.Error()}
	}
	vars := map[string]float64{}
	for k, v := range p.targetValues() {
		vars[k] = v
	}
	for _, a := range p.Assumptions {
		vars[a.Key+"_low"], vars[a.Key], vars[a.Key+"_high"] = a.Low, a.Likely, a.High
	}
	for k, v := range programConstants {
		vars[k] = v
	}
	for of := range dimensions {
		r, key := p.Size(of, false), "of_"+strings.ReplaceAll(of, " ", "_")
		vars[key+"_low"], vars[key], vars[key+"_high"] = r.Low, r.Likely, r.High
	}
	var b strings.Builder
	if err := t.Execute(&b, vars); err != nil {
		return "", &FileError{"duties.toml", text, err.Error()}
	}
	return b.String(), nil
}

func pick2(first bool, a, b string) string {
	if first {
		return a
	}
	return b
}
