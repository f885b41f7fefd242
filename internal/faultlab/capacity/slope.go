package capacity

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"slices"
	"strings"
)

const (
	// Reach is the part of a size that the measured range has to reach for a straight slope to speak for it.
	MinCoverage = 1. / 3
	// Bend is how far the worst point of a straight slope may lie from its line, as a part of the line's value there.
	LinearityTolerance = 0.15
	// rounding is how far a stated line may lie from the one worked out, as a part of the largest median: what rounding its two
	// numbers to four metrics does. It does not go by the slope, which is next to nothing where a figure is flat or its repeats
	// spread: at a hundredth of the largest median a fifth more on the slope of a noisy figure (times of a datagram, -16 ns for
	// each proxy beside 768,000 ns) passed. What the line misses its points by is Bend's, what its repeats differ by the spread's.
	roundingTolerance = 0.001
	// sizesLeast is at how many sizes a slope has to be measured.
	minSizes = 3
)

// Slope is how one figure grows, as somebody recorded it.
type Slope struct {
	Name          string       `toml:"name"`
	Role          string       `toml:"role"`
	Metric        string       `toml:"figure"`
	Unit          string       `toml:"unit"`
	Dimension     string       `toml:"of"`
	Intercept     float64      `toml:"base"`
	Gradient      float64      `toml:"per"`
	GradientRange []float64    `toml:"spread"`
	Linear        bool         `toml:"straight"`
	Points        [][4]float64 `toml:"points"` // of, median, least, most
	Commit        string       `toml:"commit"`
	Machine       string       `toml:"machine"`
	Command       string       `toml:"command"`
	Note          string       `toml:"note"`

	File string `toml:"-"`
}

// ReadSlopes reads slopes/*.toml. The error joins the faults of all of them.
func ReadSlopes(files fs.FS) ([]*Slope, error) {
	names, err := slopeFiles(files)
	if err != nil {
		return nil, err
	}
	var all []*Slope
	var found []error
	seen := map[string]string{}
	for _, name := range names {
		var keys struct {
			Slopes []map[string]any `toml:"slope"`
		}
		var typed struct {
			Slopes []*Slope `toml:"slope"`
		}
		_, err := decodeStrict(files, name, &keys)
		if err == nil {
			_, err = decodeStrict(files, name, &typed)
		}
		if err != nil {
			found = append(found, err)
			continue
		}
		for i, s := range typed.Slopes {
			s.File = name
			key := fmt.Sprintf("slope[%d] %q", i+1, s.Name)
			for _, k := range requiredSlopeKeys {
				if _, ok := keys.Slopes[i][k]; !ok {
					found = append(found, &FileError{name, key, k + " is missing"})
				}
			}
			if in, ok := seen[s.Name]; ok {
				found = append(found, &FileError{name, key, "the name stands in " + in + " too"})
			}
			seen[s.Name] = name
			if err := s.Check(); err != nil {
				found = append(found, &FileError{name, key, err.Error()})
			}
			all = append(all, s)
		}
	}
	return all, errors.Join(found...)
}

// slopeKeys have to be given; note may be left out.
var requiredSlopeKeys = []string{"name", "role", "figure", "unit", "of", "base", "per", "spread", "straight", "points", "commit", "machine", "command"}

// Duty is the first word of a name: what the figure is of.
func (s *Slope) DutyKey() string { d, _, _ := strings.Cut(s.Name, "."); return d }

// Class is the class of the figure.
func (s *Slope) Class() string { return units[s.Unit].class }

// Check tells what is wrong: words that have no meaning here, and a line that parts from its points.
func (s *Slope) Check() error {
	if strings.Count(s.Name, ".") < 2 || strings.Contains(s.Name, " ") || strings.Contains(s.Name, "..") {
		return fmt.Errorf("name: duty.role.figure is needed")
	}
	if !slices.Contains(Roles, s.Role) {
		return fmt.Errorf("role: %q is none of %q", s.Role, Roles)
	}
	if _, ok := units[s.Unit]; !ok {
		return fmt.Errorf("unit: %q is not known; add it to internal/faultlab/capacity/unit.go", s.Unit)
	}
	if _, ok := dimensions[s.Dimension]; !ok {
		return fmt.Errorf("of: %q is none of %q", s.Dimension, dimensionNames())
	}
	for key, v := range map[string]string{"figure": s.Metric, "commit": s.Commit, "machine": s.Machine, "command": s.Command} {
		if strings.TrimSpace(v) == "" || strings.ContainsAny(v, "|\n") && key != "command" {
			return fmt.Errorf("%s: a word without | is needed", key)
		}
	}
	if !isCommit(s.Commit) {
		return fmt.Errorf("commit: %q: 7 to 40 hexadecimal digits are needed", s.Commit)
	}
	if len(s.Points) < minSizes {
		return fmt.Errorf("points: %d; a slope is measured at %d sizes or more", len(s.Points), minSizes)
	}
	for i, p := range s.Points {
		if i > 0 && p[0] <= s.Points[i-1][0] {
			return fmt.Errorf("points[%d]: the sizes have to rise", i+1)
		}
		if !(p[2] <= p[1] && p[1] <= p[3]) {
			return fmt.Errorf("points[%d]: size, median, least, most are needed with least <= median <= most", i+1)
		}
	}
	return s.checkFit()
}

func isCommit(v string) bool {
	return len(v) >= 7 && len(v) <= 40 && strings.Trim(v, "0123456789abcdef") == ""
}

// checkLine works the line out again from the medians.
func (s *Slope) checkFit() error {
	xs, ys, least, most := columns(s.Points)
	base, per := leastSquares(xs, ys)
	top := 0.
	for _, y := range ys {
		top = max(top, math.Abs(y))
	}
	for _, x := range []float64{xs[0], xs[len(xs)-1]} {
		if off := math.Abs(base + per*x - s.Intercept - s.Gradient*x); off > roundingTolerance*top {
			return fmt.Errorf("base and per: the least-squares line over the medians is %.6g + %.6g x, and %.6g + %.6g x is stated: %.3g apart at %g",
				base, per, s.Intercept, s.Gradient, off, x)
		}
	}
	if is := isLinear(xs, ys, base, per); is != s.Linear {
		return fmt.Errorf("straight: %v is stated; its worst point lies %s within %g of the line", s.Linear,
			map[bool]string{true: "", false: "not"}[is], LinearityTolerance)
	}
	if len(s.GradientRange) != 2 || !(s.GradientRange[0] <= s.GradientRange[1]) {
		return fmt.Errorf("spread: the least and the most slope over the repeats are needed")
	}
	// No repeat can have been flatter or steeper than what the least and the most at each size allow.
	flat, steep := gradientBounds(xs, least, most)
	far := xs[len(xs)-1] - xs[0]
	slack := roundingTolerance * slices.Max(append(most, top)) / far
	if s.GradientRange[0] < flat-slack || s.GradientRange[1] > steep+slack {
		return fmt.Errorf("spread: %v is stated, and the points allow %.6g to %.6g", s.GradientRange, flat, steep)
	}
	if slack = roundingTolerance * top / far; per < s.GradientRange[0]-slack || per > s.GradientRange[1]+slack {
		return fmt.Errorf("spread: the slope over the medians, %.6g, is not within %v", per, s.GradientRange)
	}
	return nil
}

func columns(points [][4]float64) (xs, median, least, most []float64) {
	for _, p := range points {
		xs, median, least, most = append(xs, p[0]), append(median, p[1]), append(least, p[2]), append(most, p[3])
	}
	return xs, median, least, most
}

// weights are what each y counts for in the slope of the least-squares line.
func weights(xs []float64) (w []float64, mean float64) {
	for _, x := range xs {
		mean += x / float64(len(xs))
	}
	all := 0.
	for _, x := range xs {
		all += (x - mean) * (x - mean)
	}
	for _, x := range xs {
		w = append(w, (x-mean)/all)
	}
	return w, mean
}

// line is the least-squares line.
func leastSquares(xs, ys []float64) (base, per float64) {
	w, mean := weights(xs)
	for i, y := range ys {
		per += w[i] * y
		base += y / float64(len(ys))
	}
	return base - per*mean, per
}

// bounds are the flattest and the steepest line that values between these allow.
func gradientBounds(xs, least, most []float64) (flat, steep float64) {
	w, _ := weights(xs)
	for i := range xs {
		flat += w[i] * pick(w[i] > 0, least[i], most[i])
		steep += w[i] * pick(w[i] > 0, most[i], least[i])
	}
	return flat, steep
}

func pick(first bool, a, b float64) float64 {
	if first {
		return a
	}
	return b
}

func isLinear(xs, ys []float64, base, per float64) bool {
	for i, x := range xs {
		if l := base + per*x; math.Abs(ys[i]-l) > LinearityTolerance*math.Abs(l) {
			return false
		}
	}
	return true
}

// Fit fills the line in from what was measured: runs[i] is one repeat, a value for each size.
func (s *Slope) Fit(sizes []float64, runs [][]float64) {
	s.Points, s.GradientRange = nil, nil
	for i, x := range sizes {
		var at []float64
		for _, r := range runs {
			at = append(at, roundSignificant(r[i]))
		}
		slices.Sort(at)
		mid := at[len(at)/2]
		if n := len(at); n%2 == 0 {
			mid = roundSignificant((at[n/2-1] + at[n/2]) / 2)
		}
		s.Points = append(s.Points, [4]float64{x, mid, at[0], at[len(at)-1]})
	}
	xs, ys, _, _ := columns(s.Points)
	s.Intercept, s.Gradient = leastSquares(xs, ys)
	s.Linear = isLinear(xs, ys, s.Intercept, s.Gradient)
	s.GradientRange = []float64{s.Gradient, s.Gradient}
	for _, r := range runs {
		_, per := leastSquares(xs, r)
		s.GradientRange[0], s.GradientRange[1] = min(s.GradientRange[0], per), max(s.GradientRange[1], per)
	}
	// Rounded by what counts over the range: a base far outside of it may be large.
	far := max(xs[len(xs)-1], -xs[0])
	top := slices.MaxFunc(ys, func(a, b float64) int { return cmp.Compare(math.Abs(a), math.Abs(b)) })
	s.Intercept, s.Gradient = roundToScaleOf(s.Intercept, top), roundToScaleOf(s.Gradient, top/far)
	s.GradientRange[0], s.GradientRange[1] = min(s.Gradient, roundToScaleOf(s.GradientRange[0], top/far)), max(s.Gradient, roundToScaleOf(s.GradientRange[1], top/far))
}

// round keeps five metrics, which lie well within what a stated line may part from its points.
func roundSignificant(v float64) float64 { return roundToScaleOf(v, v) }

// roundBy keeps as much of a value as five metrics of another have.
func roundToScaleOf(v, by float64) float64 {
	if by == 0 {
		return v
	}
	p := math.Pow(10, 4-math.Floor(math.Log10(math.Abs(by))))
	return math.Round(v*p) / p
}

// Record fits a slope to what was measured, checks it as its reader will, and appends it to a file; without a file it is printed.
func (s *Slope) Record(file string, sizes []float64, runs [][]float64) error {
	s.Fit(sizes, runs)
	if err := s.Check(); err != nil {
		return fmt.Errorf("%s: %w", s.Name, err)
	}
	out := os.Stdout
	if file != "" {
		var err error
		if out, err = os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o666); err != nil {
			return err
		}
		defer out.Close()
	}
	_, err := fmt.Fprintln(out, s)
	return err
}

// String is the entry as it stands in a file.
func (s *Slope) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[[slope]]\nname = %q\nrole = %q\nfigure = %q\nunit = %q\nof = %q\nbase = %v\nper = %v\nspread = [%v, %v]\nstraight = %v\npoints = [",
		s.Name, s.Role, s.Metric, s.Unit, s.Dimension, tomlFloat(s.Intercept), tomlFloat(s.Gradient), tomlFloat(s.GradientRange[0]), tomlFloat(s.GradientRange[1]), s.Linear)
	for i, p := range s.Points {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "[%v, %v, %v, %v]", tomlFloat(p[0]), tomlFloat(p[1]), tomlFloat(p[2]), tomlFloat(p[3]))
	}
	fmt.Fprintf(&b, "]\ncommit = %q\nmachine = %q\ncommand = %q\nnote = %q\n", s.Commit, s.Machine, s.Command, s.Note)
	return b.String()
}
