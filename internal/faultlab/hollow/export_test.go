package hollow

import "testing"

// Names of this package that its external tests use: they check processes with a seeded fault from outside.
var (
	NoFault, SkipsWatch, SkipsGossip, SkipsApply = noFault, skipsWatch, skipsGossip, skipsApply

	StartRegistry = startRegistry
	TestConfig    = config
	TestSettings  = testSettings
	Eventually    = waitFor
)

// StartSeeded starts a process with a seeded fault, which runs until the test ends.
func StartSeeded(t *testing.T, c Config, fault seededFault) *Process {
	p, _ := start(t, c, fault)
	return p
}

// NotReadyReason returns why a process is not ready; empty if it is ready.
func (p *Process) NotReadyReason() string { return p.notReadyReason() }
