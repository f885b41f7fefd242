package balancer

import (
	"math"
	"slices"
	"testing"
)

// TestInvalidSettings checks that an invalid value of each setting is rejected with an error that names the
// field.
func TestInvalidSettings(t *testing.T) {
	for field, invalidate := range map[string]func(*Settings){
		"Classes":                     func(s *Settings) { s.Classes = nil },
		"Zone":                        func(s *Settings) { s.Zone = 2 },
		"ZoneCount":                   func(s *Settings) { s.ZoneCount = 0 },
		"Tier":                        func(s *Settings) { s.Tier = -1 },
		"DrainGrace":                  func(s *Settings) { s.DrainGrace = -1 },
		"RetryBudgetWindow":           func(s *Settings) { s.RetryBudgetWindow = -1 },
		"RetryBudgetMin":              func(s *Settings) { s.RetryBudgetMin = math.NaN() },
		"RetryBudgetRatio":            func(s *Settings) { s.RetryBudgetRatio = -1 },
		"PollInterval":                func(s *Settings) { s.WatchEndpoints = true },
		"MembershipEvidenceTTL":       func(s *Settings) { s.MembershipEvidenceTTL = -1 },
		"OverloadMultiple":            func(s *Settings) { s.OverloadMultiple = -1 },
		"OverloadWindow":              func(s *Settings) { s.OverloadMultiple = 3 },
		"SlowStartMinCapacity":        func(s *Settings) { s.SlowStartMinCapacity = math.NaN() },
		"Classes[1].LatencyObjective": func(s *Settings) { s.Classes[1].LatencyObjective = -5 },
		"Classes[2].Deadline":         func(s *Settings) { s.Classes[2].Deadline = 0 },
		"Classes[0].Idempotency":      func(s *Settings) { s.Classes[0].Idempotency = 9 },
		"Classes[0].DedupScope":       func(s *Settings) { s.Classes[0].DedupScope = -1 },
		"Classes[4].DedupWindow":      func(s *Settings) { s.Classes[4].DedupWindow = -1 },
		"Classes[4].LateWeight":       func(s *Settings) { s.Classes[4].LateWeight = -1 },
	} {
		s := testSettings()
		invalidate(&s)
		if _, err := New(s, 1); err == nil || !slices.Contains([]string{"balancer: Settings." + field}, errorPrefix(err.Error())) {
			t.Errorf("%s: got error %v, want one that names the field", field, err)
		}
	}
}

// errorPrefix returns an error's text up to the colon after the field.
func errorPrefix(s string) string {
	for i := len("balancer: "); i < len(s); i++ {
		if s[i] == ':' {
			return s[:i]
		}
	}
	return s
}
