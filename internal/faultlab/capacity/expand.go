package capacity

import (
	"fmt"
	"maps"
	"math"
	"strings"
	"text/template"
)

// programConstants are the program's constants that texts of duties.toml use. They are copies, because tests
// of the packages that define them import this one; TestProgramConstants compares the two.
var programConstants = map[string]float64{
	"hold_s":         4,     // long poll of a watch: internal/discovery
	"spread_s":       0.6,   // jitter before the next member is polled: internal/discovery
	"pause_most_s":   5,     // longest backoff when no member answers: internal/discovery
	"settle_s":       0.05,  // coalescing of watch events: internal/registry/watch
	"poll_s":         0.25,  // between two freshness checks: internal/registry/raftnode
	"tick_s":         0.1,   // between two sweeps of the leases: internal/registry/raftnode
	"stale_s":        2,     // age of a stale list: internal/registry/config
	"lease_part":     0.25,  // HoldThreshold: internal/registry/lease
	"lease_pace":     0.1,   // ReleaseRate: internal/registry/lease
	"changes_kept":   4096,  // retained changes: internal/registry/state
	"document_most":  65536, // bytes: internal/settings
	"retry_least_ms": 25,    // half of the shortest backoff: internal/registry/registrar
	"retry_most_ms":  600,   // 1.5 times the longest backoff: internal/registry/registrar
}

// expand executes a text of duties.toml as a template over the model.
func (m *Model) expand(text string) (string, error) {
	parsed, err := template.New("").Option("missingkey=error").Funcs(m.templateFuncs()).Parse(text)
	if err != nil {
		return "", &FileError{File: dutiesName, Key: text, Reason: err.Error(), Err: err}
	}
	var out strings.Builder
	if err := parsed.Execute(&out, m.templateValues()); err != nil {
		return "", &FileError{File: dutiesName, Key: text, Reason: err.Error(), Err: err}
	}
	return out.String(), nil
}

// templateFuncs returns the functions that the texts may call.
func (m *Model) templateFuncs() template.FuncMap {
	return template.FuncMap{
		"num":    formatNumber,
		"mul":    product,
		"div":    func(a, b float64) float64 { return a / b },
		"add":    func(a, b float64) float64 { return a + b },
		"sub":    func(a, b float64) float64 { return a - b },
		"floor":  math.Floor,
		"mem":    func(bytes float64) string { return formatQuantity(bytes/1e6, classMemory) },
		"value":  m.formatEstimate,
		"at":     m.estimateAt,
		"figure": m.formatMeasurement,
	}
}

// templateValues returns the variables of the texts: the target size, the assumptions, the dimensions and the
// program's constants.
func (m *Model) templateValues() map[string]float64 {
	values := map[string]float64{}
	addRange := func(key string, r Range) {
		values[key+"_low"], values[key], values[key+"_high"] = r.Low, r.Likely, r.High
	}
	maps.Copy(values, m.targetValues())
	for _, a := range m.Assumptions {
		addRange(a.Key, Range{a.Low, a.Likely, a.High})
	}
	maps.Copy(values, programConstants)
	for name := range dimensions {
		addRange("of_"+strings.ReplaceAll(name, " ", "_"), m.Size(name, false))
	}
	return values
}

func product(factors ...float64) float64 {
	out := 1.
	for _, f := range factors {
		out *= f
	}
	return out
}

// formatEstimate returns a slope's estimate at the target size in a readable unit.
func (m *Model) formatEstimate(name string) string {
	s := m.slope(name)
	if s == nil {
		return "not measured"
	}
	value, _, basis := s.At(m.Size(s.Dimension, false).Likely)
	switch basis {
	case Nonlinear:
		return "not known at this size"
	case Extrapolated:
		return formatQuantity(value, s.Class()) + " (worked out)"
	}
	return formatQuantity(value, s.Class())
}

// estimateAt returns a slope's estimate at a size in its class's display unit.
func (m *Model) estimateAt(name string, size float64) (float64, error) {
	s := m.slope(name)
	if s == nil {
		return 0, fmt.Errorf("slope %q: %w", name, ErrUnknownSlope)
	}
	value, _, basis := s.At(size)
	if basis == Nonlinear {
		return 0, fmt.Errorf("slope %q at %v: %w", name, size, ErrNonlinear)
	}
	return value, nil
}

// formatMeasurement returns a recorded measurement with its unit.
func (m *Model) formatMeasurement(name string) string {
	for _, measurement := range m.Measurements {
		if measurement.Name == name {
			return formatNumber(measurement.Value) + " " + measurement.Unit
		}
	}
	return "(not measured)"
}
