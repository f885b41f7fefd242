package balancer

import (
	"math"
	"slices"
	"testing"
)

func TestSettingsThatCannotWork(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"Classes":              func(s *Settings) { s.Classes = nil },
		"Zone":                 func(s *Settings) { s.Zone = 2 },
		"Zones":                func(s *Settings) { s.ZoneCount = 0 },
		"Stage":                func(s *Settings) { s.Tier = -1 },
		"DrainGrace":           func(s *Settings) { s.DrainGrace = -1 },
		"BudgetSpan":           func(s *Settings) { s.RetryBudgetWindow = -1 },
		"BudgetFree":           func(s *Settings) { s.RetryBudgetMin = math.NaN() },
		"BudgetShare":          func(s *Settings) { s.RetryBudgetRatio = -1 },
		"AskEvery":             func(s *Settings) { s.WatchEndpoints = true },
		"EvidenceSpan":         func(s *Settings) { s.MembershipEvidenceTTL = -1 },
		"TipMultiple":          func(s *Settings) { s.OverloadMultiple = -1 },
		"FallSpan":             func(s *Settings) { s.OverloadMultiple = 3 },
		"StartCapacity":        func(s *Settings) { s.SlowStartMinCapacity = math.NaN() },
		"Classes[1].Aim":       func(s *Settings) { s.Classes[1].LatencyObjective = -5 },
		"Classes[2].Deadline":  func(s *Settings) { s.Classes[2].Deadline = 0 },
		"Classes[0].Repeat":    func(s *Settings) { s.Classes[0].Idempotency = 9 },
		"Classes[0].Group":     func(s *Settings) { s.Classes[0].DedupScope = -1 },
		"Classes[4].Window":    func(s *Settings) { s.Classes[4].DedupWindow = -1 },
		"Classes[4].LateWorth": func(s *Settings) { s.Classes[4].LateWeight = -1 },
	} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1); err == nil || !slices.Contains([]string{"logic: Settings." + field}, prefix(err.Error())) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

// prefix is an error's text up to the colon that follows the field.
func prefix(s string) string {
	for i := len("logic: "); i < len(s); i++ {
		if s[i] == ':' {
			return s[:i]
		}
	}
	return s
}
