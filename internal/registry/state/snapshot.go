package state

import (
	"fmt"
	"slices"
)

// Snapshot is a copy of the whole replicated state.
type Snapshot struct {
	Epoch          string        `json:"line"`
	Version        int64         `json:"index"`
	Records        []Record      `json:"nodos"`
	EndedInstances []InstanceRef `json:"ended"` // the oldest first

	Configs []Configuration `json:"configurations,omitempty"`
}

// ContentError reports an invalid part of a snapshot or configuration: it contradicts itself or exceeds a
// limit.
type ContentError struct {
	Part    string // the JSON key or the service at fault
	Problem string
}

// Error returns the part and the problem.
func (e *ContentError) Error() string { return e.Part + ": " + e.Problem }

// Snapshot returns a copy of the state.
func (s *State) Snapshot() Snapshot {
	return Snapshot{s.epoch, s.version, s.Records(), slices.Clone(s.endedInstances), s.Configurations()}
}

// Check returns an error that names the first invalid part of the snapshot.
func (s *Snapshot) Check() error {
	if s.Version < 0 || s.Version >= maxVersion || (s.Epoch == "") != (s.Version == 0) {
		return &ContentError{"index", fmt.Sprintf("version %d of epoch %q is invalid", s.Version, s.Epoch)}
	}
	if len(s.Records) > MaxEndpoints || len(s.EndedInstances) > MaxEndedInstances {
		return &ContentError{"nodos and ended", fmt.Sprintf("%d endpoints and %d ended instances; at most %d and %d are kept",
			len(s.Records), len(s.EndedInstances), MaxEndpoints, MaxEndedInstances)}
	}
	names := map[string]bool{}
	for i, r := range s.Records {
		part := fmt.Sprintf("nodos[%d]", i)
		if names[r.Name] {
			return &ContentError{part, fmt.Sprintf("%q is in the list twice", r.Name)}
		}
		names[r.Name] = true
		if r.Status == StatusDraining {
			r.Status = StatusServing // as it was registered
		}
		if err := r.Check(); err != nil {
			return fmt.Errorf("%s: %w", part, err)
		}
	}
	return s.checkConfigs()
}

// Load replaces the state by a snapshot. If it fails, the state is unchanged.
func (s *State) Load(snapshot Snapshot) error {
	if err := snapshot.Check(); err != nil {
		return err
	}
	*s = *New()
	s.epoch, s.version = snapshot.Epoch, snapshot.Version
	for _, r := range snapshot.Records {
		s.records[r.Name] = r
	}
	s.endedInstances = slices.Clone(snapshot.EndedInstances)
	for _, ref := range snapshot.EndedInstances {
		s.isEnded[ref] = true
	}
	for _, c := range snapshot.Configs {
		s.configs[c.Service] = c
		s.documentBytes += c.size()
	}
	return nil
}

// NewestVersion returns the highest version of the list and of all configurations.
func (s *Snapshot) NewestVersion() int64 {
	version := s.Version
	for _, c := range s.Configs {
		version = max(version, c.Version)
	}
	return version
}

// Rebase returns the snapshot as the start of a new epoch: the list and all configurations get the epoch's
// first version. Configurations of current that the snapshot lacks are added, since nothing removes a
// configuration.
func (s Snapshot) Rebase(epoch string, firstVersion int64, current []Configuration) Snapshot {
	s.Epoch, s.Version = epoch, firstVersion
	s.Configs = slices.Clone(s.Configs)
	for _, kept := range current {
		if !slices.ContainsFunc(s.Configs, func(c Configuration) bool { return c.Service == kept.Service }) {
			s.Configs = append(s.Configs, kept)
		}
	}
	for i := range s.Configs {
		s.Configs[i].Version, s.Configs[i].After = firstVersion, -1
	}
	return s
}
