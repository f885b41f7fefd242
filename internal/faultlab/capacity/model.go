package capacity

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strings"
)

// dutiesName is the file of duties, sums, failures and measurements.
const dutiesName = "duties.toml"

// Duty is one task of a role, and what implements it. State, TypicalRate, PeakRate and Fallback are templates
// for Model.expand.
type Duty struct {
	Key             string   `toml:"key"`       // the first part of its slopes' names
	Role            string   `toml:"role"`      // one of Roles
	Description     string   `toml:"duty"`      // for the page
	Mechanism       string   `toml:"mechanism"` // the package that implements it
	State           string   `toml:"state"`     // what it keeps, with its size
	TypicalRate     string   `toml:"ordinary"`  // messages a second
	PeakRate        string   `toml:"worst"`     // messages a second in the worst minute
	RequiredClasses []string `toml:"needs"`     // classes of metrics without which it is Unproven
	DecidingSlope   string   `toml:"decides"`   // the slope that ranks it among the gaps; empty: the first to exceed its budget
	AbsentReason    string   `toml:"absent"`    // why no code implements it; empty: some does
	RequestedBy     string   `toml:"asks"`      // the number of the target size that requires an absent one
	Fallback        string   `toml:"instead"`   // what replaces an absent one meanwhile, or why it can wait
}

// Sum adds estimates of one class up and compares them with a role's budget.
type Sum struct {
	Title      string   `toml:"what"`
	Role       string   `toml:"role"` // whose budget it is
	Class      string   `toml:"class"`
	SlopeNames []string `toml:"parts"` // one that is not recorded leaves the sum Unproven
}

// Failure describes the effect of one failure. All fields are templates for Model.expand.
type Failure struct {
	Event       string `toml:"what"`
	Detection   string `toml:"known"`
	StillServed string `toml:"serves"`
	Impact      string `toml:"lost"`
	TestResult  string `toml:"played"` // the result of a run and its size
}

// Measurement is a single measured value that does not belong to a slope.
type Measurement struct {
	Name    string  `toml:"name"`
	Unit    string  `toml:"unit"`
	Value   float64 `toml:"value"`
	Commit  string  `toml:"commit"`
	Machine string  `toml:"machine"`
	Command string  `toml:"command"`
	Note    string  `toml:"note"`
}

// dutyFile is the content of duties.toml.
type dutyFile struct {
	Duties       []Duty        `toml:"duty"`
	Sums         []Sum         `toml:"sum"`
	Failures     []Failure     `toml:"failure"`
	Measurements []Measurement `toml:"figure"`
}

// readDuties reads and validates duties.toml. The error joins a FileError for each invalid entry.
func readDuties(files fs.FS) (*dutyFile, error) {
	d := &dutyFile{}
	if _, err := decodeStrict(files, dutiesName, d); err != nil {
		return nil, err
	}
	invalid := &fileErrors{file: dutiesName}
	d.checkDuties(invalid)
	for i, m := range d.Measurements {
		if m.Name == "" || m.Unit == "" || !isCommit(m.Commit) || m.Machine == "" || m.Command == "" {
			invalid.add(fmt.Sprintf("figure[%d] %q", i+1, m.Name), "name, value, unit, commit, machine and command are required")
		}
	}
	for i, s := range d.Sums {
		if s.Title == "" || len(s.SlopeNames) == 0 || displayUnits[s.Class] == "" {
			invalid.add(fmt.Sprintf("sum[%d] %q", i+1, s.Title), "what, role, class and parts are required")
		}
	}
	for i, f := range d.Failures {
		if f.Event == "" || f.Detection == "" || f.StillServed == "" || f.Impact == "" || f.TestResult == "" {
			invalid.add(fmt.Sprintf("failure[%d] %q", i+1, f.Event), "what, known, serves, lost and played are required")
		}
	}
	return d, invalid.join()
}

func (d *dutyFile) checkDuties(invalid *fileErrors) {
	seen := map[string]bool{}
	for i, duty := range d.Duties {
		key := fmt.Sprintf("duty[%d] %q of %q", i+1, duty.Key, duty.Role)
		if !slices.Contains(Roles, duty.Role) {
			invalid.add(key, "role: not one of %q", Roles)
		}
		if duty.Key == "" || strings.Contains(duty.Key, ".") || seen[duty.Key+duty.Role] {
			invalid.add(key, "key: the first part of slopes' names is required, only once for each role")
		}
		seen[duty.Key+duty.Role] = true
		if duty.Description == "" || duty.State == "" || duty.TypicalRate == "" || duty.PeakRate == "" || duty.Mechanism == "" {
			invalid.add(key, "duty, mechanism, state, ordinary and worst are required")
		}
		if duty.AbsentReason != "" && duty.RequestedBy == "" {
			invalid.add(key, "asks: the number of the letter that requires an absent duty is required")
		}
		if duty.AbsentReason == "" && len(duty.RequiredClasses) == 0 {
			invalid.add(key, "needs: the classes without which it is unproven are required")
		}
		for _, class := range duty.RequiredClasses {
			if _, ok := displayUnits[class]; !ok {
				invalid.add(key, "needs: %q is not a class", class)
			}
		}
	}
}

// Model is everything that the tables of docs/CAPACITY.md are calculated from.
type Model struct {
	*Inputs
	*dutyFile
	Slopes []*Slope
}

// Read reads and validates the directory docs/capacity. The error joins a FileError for each invalid entry.
func Read(files fs.FS) (*Model, error) {
	inputs, inputsErr := ReadInputs(files)
	slopes, slopesErr := ReadSlopes(files)
	duties, dutiesErr := readDuties(files)
	if err := errors.Join(inputsErr, slopesErr, dutiesErr); err != nil {
		return nil, err
	}
	m := &Model{inputs, duties, slopes}
	for _, duty := range duties.Duties {
		name := duty.DecidingSlope
		if name == "" {
			continue
		}
		if s := m.slope(name); s == nil || s.DutyKey() != duty.Key || s.Role != duty.Role {
			return nil, &FileError{File: dutiesName, Key: fmt.Sprintf("duty %q of %q", duty.Key, duty.Role),
				Reason: fmt.Sprintf("decides: no slope %q of this duty and role is recorded", name), Err: ErrUnknownSlope}
		}
	}
	return m, nil
}

// slope returns the slope of a name, or nil.
func (m *Model) slope(name string) *Slope {
	for _, s := range m.Slopes {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// budget returns the budget of a role's metric, and false if there is none.
func (m *Model) budget(role, class, metric string) (Budget, bool) {
	metric = strings.ToLower(metric)
	matches := func(part string) bool { return strings.Contains(metric, part) }
	for _, b := range m.Budgets {
		if b.Role == role && b.Class == class && (len(b.Metrics) == 0 || slices.ContainsFunc(b.Metrics, matches)) {
			return b, true
		}
	}
	return Budget{}, false
}
