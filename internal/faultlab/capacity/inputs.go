package capacity

import (
	"fmt"
	"io/fs"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// Roles are the roles of docs/CAPACITY.md, in its order.
var Roles = []string{
	"proxy carrying calls", "proxy following lists", "proxy as a member of a fleet", "nodo keeping its lease",
	"list member as leader", "list member as follower", "the five machines", "links between regions",
}

// TargetSize is the deployment to plan for.
type TargetSize struct {
	Servers        float64 `toml:"nodos"`
	Services       float64 `toml:"services"`
	Regions        float64 `toml:"regions"`
	Zones          float64 `toml:"zones"`
	CallsPerSecond float64 `toml:"calls_per_second"` // of all services
	CallDepth      float64 `toml:"call_depth"`
	ChangesPerDay  float64 `toml:"changes_per_day"` // of configuration
	RolloutSeconds float64 `toml:"in_force_s"`      // from a change of configuration until every proxy uses it
	Machines       float64 `toml:"machines"`        // of the registry
	FailuresPerDay float64 `toml:"fails_per_day"`   // of servers
	RestartsPerDay float64 `toml:"restarts_per_day"`
	ServersPerRack float64 `toml:"rack"` // lost with one rack or switch
	ServersPerZone float64 `toml:"zone"` // lost with one zone
}

// Assumption is a range for a number that the target size does not determine.
type Assumption struct {
	Key    string  `toml:"key"`
	Unit   string  `toml:"unit"`
	Low    float64 `toml:"low"`
	Likely float64 `toml:"likely"`
	High   float64 `toml:"high"`
	Why    string  `toml:"why"`
}

// Budget is the limit of one class of metrics of a role.
type Budget struct {
	Role    string   `toml:"role"`
	Class   string   `toml:"class"`
	Unit    string   `toml:"unit"` // the class's display unit
	Source  string   `toml:"from"` // "letter" if the operators set it, else the reason for the value
	Value   float64  `toml:"value"`
	Metrics []string `toml:"figures"` // substrings of the metrics it is for, in lower case; empty: all of the class
}

// Inputs holds the target size with its assumptions and budgets.
type Inputs struct {
	Target      TargetSize   `toml:"letter"`
	Assumptions []Assumption `toml:"assumption"`
	Budgets     []Budget     `toml:"budget"`
}

// decodeStrict decodes a file into target and rejects keys that target has no field for.
func decodeStrict(files fs.FS, name string, target any) (toml.MetaData, error) {
	text, err := fs.ReadFile(files, name)
	if err != nil {
		return toml.MetaData{}, fmt.Errorf("%s: %w", name, err)
	}
	invalid := &fileErrors{file: name}
	meta, err := toml.Decode(string(text), target)
	if err != nil {
		invalid.addCause("the file", err)
		return meta, invalid.join()
	}
	for _, key := range meta.Undecoded() {
		invalid.add(key.String(), "no such key")
	}
	return meta, invalid.join()
}

// ReadInputs reads and validates numbers.toml. The error joins a FileError for each invalid entry.
func ReadInputs(files fs.FS) (*Inputs, error) {
	const name = "numbers.toml"
	inputs := &Inputs{}
	meta, err := decodeStrict(files, name, inputs)
	if err != nil {
		return nil, err
	}
	invalid := &fileErrors{file: name}
	for key, value := range inputs.targetValues() {
		if !meta.IsDefined("letter", key) || !(value > 0) {
			invalid.add("letter."+key, "a number over 0 is required")
		}
	}
	inputs.checkAssumptions(invalid)
	inputs.checkBudgets(invalid)
	slices.SortFunc(invalid.errors, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return inputs, invalid.join()
}

func (n *Inputs) checkAssumptions(invalid *fileErrors) {
	seen := map[string]bool{}
	for i, a := range n.Assumptions {
		key := fmt.Sprintf("assumption[%d] %q", i+1, a.Key)
		if a.Key == "" || a.Unit == "" || a.Why == "" || seen[a.Key] {
			invalid.add(key, "key, unit and why are required, and each key only once")
		}
		if !(a.Low >= 0 && a.Low <= a.Likely && a.Likely <= a.High) {
			invalid.add(key, "0 <= low <= likely <= high is required, not %v, %v, %v", a.Low, a.Likely, a.High)
		}
		seen[a.Key] = true
	}
	for _, key := range assumptionKeys {
		if !seen[key] {
			invalid.add("assumption", "%q is missing", key)
		}
	}
	for key := range seen {
		if !slices.Contains(assumptionKeys, key) {
			invalid.add("assumption", "%q is not used by any calculation; known are %v", key, assumptionKeys)
		}
	}
}

func (n *Inputs) checkBudgets(invalid *fileErrors) {
	for i, b := range n.Budgets {
		key := fmt.Sprintf("budget[%d]", i+1)
		if !slices.Contains(Roles, b.Role) {
			invalid.add(key+".role", "%q is not one of %q", b.Role, Roles)
		}
		if u, ok := units[b.Unit]; !ok || u.class != b.Class || displayUnits[b.Class] != b.Unit {
			invalid.add(key+".unit", "%q: a budget of class %q must be in %q", b.Unit, b.Class,
				displayUnits[b.Class])
		}
		if !(b.Value > 0) || b.Source == "" {
			invalid.add(key, "a value over 0 is required, and from: \"letter\", or \"ours\" with the reason")
		}
	}
}

// targetValues returns the target size by TOML key.
func (n *Inputs) targetValues() map[string]float64 {
	t := n.Target
	return map[string]float64{"nodos": t.Servers, "services": t.Services, "regions": t.Regions, "zones": t.Zones,
		"calls_per_second": t.CallsPerSecond, "call_depth": t.CallDepth, "changes_per_day": t.ChangesPerDay,
		"in_force_s": t.RolloutSeconds, "machines": t.Machines, "fails_per_day": t.FailuresPerDay,
		"restarts_per_day": t.RestartsPerDay, "rack": t.ServersPerRack, "zone": t.ServersPerZone}
}

// assumptionKeys are the assumptions that the calculation requires.
var assumptionKeys = []string{"services_called", "lease_s", "config_bytes", "config_burst", "changes_per_restart",
	"release_part", "calls_peak", "members_lost"}

// assumption returns the range of an assumption. It panics on a key that is not one of assumptionKeys.
func (n *Inputs) assumption(key string) Range {
	for _, a := range n.Assumptions {
		if a.Key == key {
			return Range{a.Low, a.Likely, a.High}
		}
	}
	panic("capacity: assumption not in assumptionKeys: " + key)
}
