package experiment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/BurntSushi/toml"
)

// Problem is an error in an experiment file, with its place.
type Problem struct {
	File string
	Line int // from 1; 0 if the problem has no line
	Key  string
	Text string
}

// Error returns file, line, key and text.
func (p Problem) Error() string {
	at := p.File
	if p.Line > 0 {
		at = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key != "" {
		at += ": " + p.Key
	}
	return at + ": " + p.Text
}

// Read reads and checks an experiment file. The error joins all its Problems.
func Read(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, string(text), func(base string) ([]byte, error) {
		return os.ReadFile(filepath.Join(filepath.Dir(path), base))
	})
}

// maxBases is the maximum length of a chain of base files, which could otherwise be a cycle.
const maxBases = 4

// errTooManyBases is returned for a chain of base files that is too long.
var errTooManyBases = fmt.Errorf("more than %d base files in a chain, remove one", maxBases)

// Parse parses and checks the text of an experiment file. Errors have the file's name; open reads a base
// file, by its path relative to this file.
func Parse(name, text string, open func(base string) ([]byte, error)) (*Experiment, error) {
	return parse(name, text, open, maxBases)
}

func parse(name, text string, open func(base string) ([]byte, error), bases int) (*Experiment, error) {
	exp := defaults()
	var top struct {
		Base string `toml:"base"`
	}
	if _, err := toml.Decode(text, &top); err != nil {
		return nil, parseProblem(name, err)
	}
	c := &checker{file: name, experiment: exp, lines: keyLines(text)}
	if top.Base != "" {
		baseText, err := open(top.Base)
		if bases == 0 {
			err = errTooManyBases
		}
		if err != nil {
			c.report("base", "%v", err)
			return nil, errors.Join(c.problems...)
		}
		read := func(base string) ([]byte, error) { return open(filepath.Join(filepath.Dir(top.Base), base)) }
		if exp, err = parse(top.Base, string(baseText), read, bases-1); err != nil {
			c.report("base", "the base file has errors")
			return nil, errors.Join(append(c.problems, err)...)
		}
		c.experiment = exp
	}
	if err := exp.clearLists(text); err != nil {
		return nil, parseProblem(name, err)
	}
	meta, err := toml.Decode(text, exp)
	if err != nil {
		return nil, parseProblem(name, err)
	}
	for _, key := range meta.Undecoded() {
		c.report(c.locateUndecoded(key), "unknown key; the format is in docs/lab.md")
	}
	c.check()
	return exp, errors.Join(c.problems...)
}

// clearLists clears the lists that a file defines, so that they replace those of its base instead of being
// merged with them.
func (e *Experiment) clearLists(text string) error {
	var keys map[string]any
	if _, err := toml.Decode(text, &keys); err != nil {
		return err
	}
	for key, clearList := range map[string]func(){
		"zone":   func() { e.Zones = nil },
		"class":  func() { e.Classes = nil },
		"fault":  func() { e.Faults = nil },
		"phase":  func() { e.Phases = nil },
		"expect": func() { e.Expect = nil }} {
		if _, given := keys[key]; given {
			clearList()
		}
	}
	if load, ok := keys["load"].(map[string]any); ok && load["rate"] != nil {
		e.Load.Rate = nil
	}
	return nil
}

// parseProblem returns an error of the TOML parser as a Problem.
func parseProblem(name string, err error) error {
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		return Problem{name, parseErr.Position.Line, parseErr.LastKey, parseErr.Message}
	}
	return Problem{File: name, Text: err.Error()}
}

// defaults returns the default values, which are those of the platform's documentation where it states one.
func defaults() *Experiment {
	return &Experiment{
		Seconds: 30, Warmup: 3, Seed: 1, Repeat: 1,
		Lab:     Lab{LateMs: 20, StallMs: 400, StartGap: 0.05, ReadyWait: 30, Rules: "enforce"},
		Network: Network{LocalMs: 0.5, CrossMs: 15},
		Clients: Clients{Retries: 3, AttemptFraction: []float64{0.4, 0.55}, FailureDetectionMs: 2000,
			MarkRetry: true},
		Proxy: Proxy{Cores: 1, MemoryMB: 64, Sockets: 512, MaxAttempts: 3, Hedging: true, DialTimeoutMs: 250,
			IdleTimeoutMs: 5000, DrainGraceMs: 1000, PollIntervalMs: 10000, DeadlineSlackMs: 20, MaxRetryAfterMs: 2000,
			Membership: "subscribe"},
		Servers: Servers{StartCapacity: 0.32, SlowStartMs: 8800, OverloadMultiple: 3, OverloadFailureMs: 2000, MaxConnections: 64,
			ConnectMs: 2, ConnectWork: 1, CancelsWork: true},
		Cluster: Cluster{Label: "lab", Seeds: 6},
		Hollow:  Hollow{Processes: 4, ZonesPerRegion: 3, Services: 88, CallRate: 0.2, FailedFraction: 0.01},
		List: List{NotificationDelayMs: 1000, CallMs: 2, EntryUs: 20, QueueTimeoutMs: 2000, SyncIntervalMs: 500, RetainedChanges: 200, MaxWaitingCalls: 1000,
			LeaseMs: 5000, ElectionMs: 500, MaxListAgeMs: 2000},
	}
}

// keyLines returns the line of each key of a file. Indexes of lists count from 1, as in `fault[2].at`. Only
// table headers and plain keys are recognized; a problem at another key has the line of its table, or none.
func keyLines(text string) map[string]int {
	lines, table, counts := map[string]int{}, "", map[string]int{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			name, _, _ := strings.Cut(line[2:], "]]")
			name = strings.TrimSpace(name)
			parent, child, nested := strings.Cut(name, ".")
			if nested {
				prefix := fmt.Sprintf("%s[%d].%s", parent, counts[parent], child)
				counts[prefix]++
				table = fmt.Sprintf("%s[%d]", prefix, counts[prefix])
			} else {
				counts[name]++
				table = fmt.Sprintf("%s[%d]", name, counts[name])
			}
			lines[table] = i + 1
		case strings.HasPrefix(line, "["):
			name, _, _ := strings.Cut(line[1:], "]")
			table = strings.TrimSpace(name)
			lines[table] = i + 1
		default:
			key, _, ok := strings.Cut(line, "=")
			if !ok || strings.HasPrefix(line, "#") {
				continue
			}
			key = strings.Trim(strings.TrimSpace(key), `"`)
			if table != "" {
				key = table + "." + key
			}
			if lines[key] == 0 {
				lines[key] = i + 1
			}
		}
	}
	return lines
}

// checker collects the problems of a file.
type checker struct {
	file       string
	experiment *Experiment
	lines      map[string]int
	problems   []error
}

// report adds a problem at a key.
func (c *checker) report(key, format string, args ...any) {
	line := c.lines[key]
	// A key without a line has that of the table that contains it.
	for at := key; line == 0 && at != ""; line = c.lines[at] {
		i := strings.LastIndexByte(at, '.')
		at = at[:max(i, 0)]
	}
	c.problems = append(c.problems, Problem{c.file, line, key, fmt.Sprintf(format, args...)})
}

// locateUndecoded returns an unknown key with the index of the list entry that contains it, since the TOML
// library names only the list.
func (c *checker) locateUndecoded(key toml.Key) string {
	plain := key.String()
	for at := range c.lines {
		if stripped := stripIndexes(at); stripped == plain {
			return at
		}
	}
	return plain
}

// stripIndexes removes the indexes of lists from a key.
func stripIndexes(key string) string {
	var b strings.Builder
	inside := false
	for _, r := range key {
		switch {
		case r == '[':
			inside = true
		case r == ']':
			inside = false
		case !inside:
			b.WriteRune(r)
		}
	}
	return b.String()
}
