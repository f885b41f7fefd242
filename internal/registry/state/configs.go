package state

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"merlinpick/internal/settings"
)

// Each service has one configuration: its newest document, and the previous one for a rollback.
//
// A configuration's versions are consecutive. The first is above the list's version at that moment, and so
// above every version of earlier epochs; a restore moves all versions above those of earlier epochs too
// (Snapshot.Rebase). So the higher of two versions of one service is the newer one, across epochs as well.
//
// A write names the newest version that its writer has seen. A repeated write is recognised by its document
// and that version, and changes nothing.
//
// Only a document's form is checked here: members of two builds may validate its content differently and must
// not diverge. The content is validated before the write becomes a command, and by each proxy.

const (
	// MaxServices is the maximum number of configurations.
	MaxServices = 1000
	// MaxDocumentBytes bounds the total size of all documents, previous ones included. With a full list, a
	// snapshot stays well under MaxSnapshotBytes.
	MaxDocumentBytes = 8 << 20
)

// Configuration is a service's newest document and the previous one.
type Configuration struct {
	Service  string            `json:"service"`
	Version  int64             `json:"version"`
	After    int64             `json:"after"` // version that the writer had seen; 0: none; -1: restored
	Document json.RawMessage   `json:"document"`
	Previous *PreviousDocument `json:"former,omitempty"`
}

// PreviousDocument is the document that a configuration replaced.
type PreviousDocument struct {
	Version  int64           `json:"version"`
	Document json.RawMessage `json:"document"`
}

// size returns the number of bytes that count towards MaxDocumentBytes.
func (c *Configuration) size() int {
	n := len(c.Document)
	if c.Previous != nil {
		n += len(c.Previous.Document)
	}
	return n
}

// errNotCanonical reports a document that differs from its canonical form (settings.Canonical).
var errNotCanonical = errors.New("it is not in canonical form")

func checkDocument(text json.RawMessage) error {
	canonical, err := settings.Canonical(text)
	if err == nil && !bytes.Equal(canonical, text) {
		err = errNotCanonical
	}
	return err
}

func (c *Configuration) check() error {
	if err := settings.CheckService(c.Service); err != nil {
		return err
	}
	if c.Version <= 0 || c.Version >= maxVersion || c.After < -1 || c.After >= c.Version {
		return &ContentError{c.Service, fmt.Sprintf("version %d, written after version %d, is invalid",
			c.Version, c.After)}
	}
	if err := checkDocument(c.Document); err != nil {
		return fmt.Errorf("%s: the document: %w", c.Service, err)
	}
	if previous := c.Previous; previous != nil {
		if previous.Version <= 0 || previous.Version >= c.Version {
			return &ContentError{c.Service, fmt.Sprintf("previous version %d is invalid before version %d",
				previous.Version, c.Version)}
		}
		if err := checkDocument(previous.Document); err != nil {
			return fmt.Errorf("%s: the former document: %w", c.Service, err)
		}
	}
	return nil
}

// Configuration returns a service's configuration.
func (s *State) Configuration(service string) (Configuration, bool) {
	c, ok := s.configs[service]
	return c, ok
}

// ConfigurationsLen returns the number of configurations.
func (s *State) ConfigurationsLen() int { return len(s.configs) }

// ConfigRevision returns the sum of all configurations' versions. Within an epoch it grows with each write,
// so that equal sums mean equal configurations. The sum of MaxServices versions below 2^53 fits into a
// uint64.
func (s *State) ConfigRevision() (revision uint64) {
	for _, c := range s.configs {
		revision += uint64(c.Version)
	}
	return revision
}

// Configurations returns all configurations, ordered by service.
func (s *State) Configurations() []Configuration {
	out := slices.Collect(maps.Values(s.configs))
	slices.SortFunc(out, func(a, b Configuration) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// configure applies CommandConfigure. Result.Version is the service's newest version, whatever the code.
func (s *State) configure(c Command) Result {
	current, exists := s.configs[c.Service]
	if exists && c.After == current.After && bytes.Equal(c.Document, current.Document) {
		return Result{Code: ResultDone, Version: current.Version} // repeated
	}
	if c.After != current.Version {
		return Result{Code: ResultConflict, Version: current.Version}
	}
	next := Configuration{Service: c.Service, Version: current.Version + 1, After: c.After, Document: c.Document}
	if exists {
		next.Previous = &PreviousDocument{current.Version, current.Document}
	} else {
		next.Version = s.version + 1
	}
	if s.epoch == "" || next.check() != nil {
		return Result{Code: ResultIgnored, Version: current.Version}
	}
	total := s.documentBytes - current.size() + next.size()
	if total > MaxDocumentBytes || !exists && len(s.configs) >= MaxServices {
		return Result{Code: ResultNoRoom, Version: current.Version}
	}
	s.documentBytes = total
	s.configs[c.Service] = next
	return Result{Code: ResultDone, Version: next.Version, Changed: true}
}

func (s *Snapshot) checkConfigs() error {
	total, services := 0, map[string]bool{}
	for i, c := range s.Configs {
		part := fmt.Sprintf("configurations[%d]", i)
		if services[c.Service] {
			return &ContentError{part, fmt.Sprintf("service %q has more than one configuration", c.Service)}
		}
		services[c.Service] = true
		if err := c.check(); err != nil {
			return fmt.Errorf("%s: %w", part, err)
		}
		total += c.size()
	}
	if len(services) > MaxServices || total > MaxDocumentBytes {
		return &ContentError{"configurations", fmt.Sprintf("%d with %d bytes; at most %d with %d are kept", len(services), total,
			MaxServices, MaxDocumentBytes)}
	}
	return nil
}
