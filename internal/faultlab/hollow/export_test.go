package hollow

import "testing"

// For the calibration's test, which judges a process with a seeded fault from outside.
var (
	NoFault, SkipsWatch, SkipsGossip, SkipsApply = noFault, skipsWatch, skipsGossip, skipsApply

	StartRegistry = startRegistry
	TestConfig    = config
	TestSettings  = testSettings
	Eventually    = waitFor
)

// StartSeeded runs a process with a fault until the test ends.
func StartSeeded(t *testing.T, c Config, fault seededFault) *Process {
	p, _ := start(t, c, fault)
	return p
}

// Waits returns what a process still lacks.
func (p *Process) NotReadyReason() string { return p.notReadyReason() }
