package capacity

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"slices"
	"strings"
)

// minSizes is the minimum number of sizes that a slope has to be measured at.
const minSizes = 3

// Slope describes how one metric grows with a dimension: measured points and the least-squares line through
// their medians. Intercept, Gradient and Points are in Unit.
type Slope struct {
	Name          string       `toml:"name"` // duty.role.metric
	Role          string       `toml:"role"`
	Metric        string       `toml:"figure"`
	Unit          string       `toml:"unit"`
	Dimension     string       `toml:"of"`
	Intercept     float64      `toml:"base"`
	Gradient      float64      `toml:"per"`
	GradientRange []float64    `toml:"spread"` // the lowest and the highest gradient of the repeats
	Linear        bool         `toml:"straight"`
	Points        [][4]float64 `toml:"points"` // size, median, minimum and maximum of the repeats
	Commit        string       `toml:"commit"`
	Machine       string       `toml:"machine"`
	Command       string       `toml:"command"`
	Note          string       `toml:"note"`

	File string `toml:"-"` // relative to docs/capacity
}

// requiredSlopeKeys must be given; only note is optional.
var requiredSlopeKeys = []string{"name", "role", "figure", "unit", "of", "base", "per", "spread", "straight", "points",
	"commit", "machine", "command"}

// ReadSlopes reads and validates slopes/*.toml. The error joins a FileError for each invalid entry.
func ReadSlopes(files fs.FS) ([]*Slope, error) {
	names, err := slopeFiles(files)
	if err != nil {
		return nil, err
	}
	var all []*Slope
	var found []error
	fileOf := map[string]string{} // by slope
	for _, name := range names {
		slopes, err := readSlopeFile(files, name, fileOf)
		all, found = append(all, slopes...), append(found, err)
	}
	return all, errors.Join(found...)
}

// readSlopeFile reads one file and adds its slopes to fileOf, by which it detects names that are recorded
// twice.
func readSlopeFile(files fs.FS, name string, fileOf map[string]string) ([]*Slope, error) {
	var keys struct {
		Slopes []map[string]any `toml:"slope"`
	}
	var typed struct {
		Slopes []*Slope `toml:"slope"`
	}
	if _, err := decodeStrict(files, name, &keys); err != nil {
		return nil, err
	}
	if _, err := decodeStrict(files, name, &typed); err != nil {
		return nil, err
	}
	invalid := &fileErrors{file: name}
	for i, s := range typed.Slopes {
		s.File = name
		key := fmt.Sprintf("slope[%d] %q", i+1, s.Name)
		for _, required := range requiredSlopeKeys {
			if _, ok := keys.Slopes[i][required]; !ok {
				invalid.add(key, "%s is missing", required)
			}
		}
		if other, ok := fileOf[s.Name]; ok {
			invalid.add(key, "the name is also used in %s; each name may be recorded only once", other)
		}
		fileOf[s.Name] = name
		if err := s.Check(); err != nil {
			invalid.addCause(key, err)
		}
	}
	return typed.Slopes, invalid.join()
}

// slopeFiles returns the names of the slope files, sorted.
func slopeFiles(files fs.FS) ([]string, error) {
	names, err := fs.Glob(files, path.Join("slopes", "*.toml"))
	slices.Sort(names)
	return names, err
}

// DutyKey returns the key of the duty that the metric belongs to: the first part of the name.
func (s *Slope) DutyKey() string { key, _, _ := strings.Cut(s.Name, "."); return key }

// Class returns the class of the metric.
func (s *Slope) Class() string { return units[s.Unit].class }

// Check returns a SlopeError for the first invalid field: an unknown name, or a line that does not fit its points.
func (s *Slope) Check() error {
	if err := s.checkNames(); err != nil {
		return err
	}
	if len(s.Points) < minSizes {
		return slopeError("points", "%d; a slope needs at least %d measured sizes", len(s.Points), minSizes)
	}
	for i, p := range s.Points {
		field := fmt.Sprintf("points[%d]", i+1)
		if i > 0 && p[0] <= s.Points[i-1][0] {
			return slopeError(field, "the sizes must be in ascending order")
		}
		if !(p[2] <= p[1] && p[1] <= p[3]) {
			return slopeError(field, "size, median, min and max are required, with min <= median <= max")
		}
	}
	return s.checkFit()
}

func (s *Slope) checkNames() error {
	if strings.Count(s.Name, ".") < 2 || strings.Contains(s.Name, " ") || strings.Contains(s.Name, "..") {
		return slopeError("name", "%q: duty.role.figure is required", s.Name)
	}
	if !slices.Contains(Roles, s.Role) {
		return slopeError("role", "%q is not one of %q", s.Role, Roles)
	}
	if _, ok := units[s.Unit]; !ok {
		return slopeError("unit", "%q is not known; add it to internal/faultlab/capacity/format.go", s.Unit)
	}
	if _, ok := dimensions[s.Dimension]; !ok {
		return slopeError("of", "%q is not one of %q", s.Dimension, dimensionNames())
	}
	for key, text := range map[string]string{"figure": s.Metric, "commit": s.Commit, "machine": s.Machine, "command": s.Command} {
		if strings.TrimSpace(text) == "" || strings.ContainsAny(text, "|\n") && key != "command" {
			return slopeError(key, "a text without | or line breaks is required")
		}
	}
	if !isCommit(s.Commit) {
		return slopeError("commit", "%q: 7 to 40 hexadecimal digits are required", s.Commit)
	}
	return nil
}

func isCommit(text string) bool {
	return len(text) >= 7 && len(text) <= 40 && strings.Trim(text, "0123456789abcdef") == ""
}

// Record fits the slope to measured values (see Fit), checks it and appends it to a file, or prints it if file is empty.
func (s *Slope) Record(file string, sizes []float64, runs [][]float64) error {
	s.Fit(sizes, runs)
	if err := s.Check(); err != nil {
		return fmt.Errorf("slope %s: %w", s.Name, err)
	}
	out := os.Stdout
	if file != "" {
		var err error
		if out, err = os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o666); err != nil {
			return fmt.Errorf("record slope %s: %w", s.Name, err)
		}
		defer out.Close()
	}
	_, err := fmt.Fprintln(out, s)
	return err
}

// String returns the entry in the form that ReadSlopes reads.
func (s *Slope) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "[[slope]]\nname = %q\nrole = %q\nfigure = %q\nunit = %q\nof = %q\n", s.Name, s.Role, s.Metric, s.Unit, s.Dimension)
	fmt.Fprintf(&out, "base = %v\nper = %v\nspread = [%v, %v]\nstraight = %v\npoints = [", tomlFloat(s.Intercept), tomlFloat(s.Gradient),
		tomlFloat(s.GradientRange[0]), tomlFloat(s.GradientRange[1]), s.Linear)
	for i, p := range s.Points {
		if i > 0 {
			out.WriteString(", ")
		}
		fmt.Fprintf(&out, "[%v, %v, %v, %v]", tomlFloat(p[0]), tomlFloat(p[1]), tomlFloat(p[2]), tomlFloat(p[3]))
	}
	fmt.Fprintf(&out, "]\ncommit = %q\nmachine = %q\ncommand = %q\nnote = %q\n", s.Commit, s.Machine, s.Command, s.Note)
	return out.String()
}
