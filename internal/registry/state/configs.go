package state

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"merlinpick/internal/settings"
)

// The service keeps one configuration for each service of nodos: its newest document, and the one before it to go back to.
//
// A configuration's versions follow each other by one. The first one lies above the list's version at that moment, and so
// above all that any line before can have told (see Base); a restore lifts all of them above too (Image.Lift). So of two
// versions of one service the higher is the newer, over lines as well.
//
// A put names the version that its caller has seen. One that comes twice happens once: its document and what it was put
// after are known again.
//
// Only the form of a document is checked here, not what it says: members of two builds may judge that differently, and
// must not come to hold different things. What it says is judged before it becomes a command, and by each proxy.

const (
	// ServicesMost bounds the configurations.
	MaxServices = 1000
	// DocumentsMost bounds all documents together, those before the newest too, in bytes. With a full list it stays
	// well under FileMost.
	MaxDocumentBytes = 8 << 20
)

// Configure is the kind of a command that puts a configuration.
const CommandConfigure = "configure"

// The further ends of a command.
const (
	ResultConflict = "conflict" // the newest version is another than its caller has seen
	ResultNoRoom   = "no_room"  // over DocumentsMost or ServicesMost
)

// Configuration is a service's document, and the one before.
type Configuration struct {
	Service  string            `json:"service"`
	Version  int64             `json:"version"`
	After    int64             `json:"after"` // the version that it was put after, 0 if it was the first; -1: it was restored
	Document json.RawMessage   `json:"document"`
	Previous *PreviousDocument `json:"former,omitempty"`
}

// Former is what was in a configuration's place before.
type PreviousDocument struct {
	Version  int64           `json:"version"`
	Document json.RawMessage `json:"document"`
}

// size is what it counts against DocumentsMost.
func (c *Configuration) size() int {
	n := len(c.Document)
	if c.Previous != nil {
		n += len(c.Previous.Document)
	}
	return n
}

func checkDocument(text json.RawMessage) error {
	c, err := settings.Canonical(text)
	if err == nil && !bytes.Equal(c, text) {
		err = fmt.Errorf("it is not in the form that is kept")
	}
	return err
}

func (c *Configuration) check() error {
	if err := settings.CheckService(c.Service); err != nil {
		return err
	}
	if c.Version <= 0 || c.Version >= maxVersion || c.After < -1 || c.After >= c.Version {
		return fmt.Errorf("%s: version %d after %d makes no sense", c.Service, c.Version, c.After)
	}
	if err := checkDocument(c.Document); err != nil {
		return fmt.Errorf("%s: the document: %w", c.Service, err)
	}
	if f := c.Previous; f != nil {
		if f.Version <= 0 || f.Version >= c.Version {
			return fmt.Errorf("%s: version %d before %d makes no sense", c.Service, f.Version, c.Version)
		}
		if err := checkDocument(f.Document); err != nil {
			return fmt.Errorf("%s: the former document: %w", c.Service, err)
		}
	}
	return nil
}

// Configuration is a service's configuration.
func (s *State) Configuration(service string) (Configuration, bool) {
	c, ok := s.configs[service]
	return c, ok
}

// ConfigurationsLen is how many there are.
func (s *State) ConfigurationsLen() int { return len(s.configs) }

// ConfigsMark rises with each put of a line: a state of that line with the same mark has all puts that this one has. It is
// the sum of all versions, which a thousand below 2^53 leave room for.
func (s *State) ConfigRevision() (mark uint64) {
	for _, c := range s.configs {
		mark += uint64(c.Version)
	}
	return mark
}

// Configurations are all, by service.
func (s *State) Configurations() []Configuration {
	out := slices.Collect(maps.Values(s.configs))
	slices.SortFunc(out, func(a, b Configuration) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// configure puts a configuration. Result.Index is the service's newest version, whatever the end.
func (s *State) configure(c Command) Result {
	was, had := s.configs[c.Service]
	if had && c.After == was.After && bytes.Equal(c.Document, was.Document) {
		return Result{Code: ResultDone, Version: was.Version} // said before
	}
	if c.After != was.Version {
		return Result{Code: ResultConflict, Version: was.Version}
	}
	next := Configuration{Service: c.Service, Version: was.Version + 1, After: c.After, Document: c.Document}
	if had {
		next.Previous = &PreviousDocument{was.Version, was.Document}
	} else {
		next.Version = s.version + 1
	}
	if s.epoch == "" || next.check() != nil {
		return Result{Code: ResultIgnored, Version: was.Version}
	}
	if total := s.documentBytes - was.size() + next.size(); total > MaxDocumentBytes || !had && len(s.configs) >= MaxServices {
		return Result{Code: ResultNoRoom, Version: was.Version}
	}
	s.documentBytes += next.size() - was.size()
	s.configs[c.Service] = next
	return Result{Code: ResultDone, Version: next.Version, Changed: true}
}

func (i *Snapshot) checkConfigs() error {
	total, seen := 0, map[string]bool{}
	for n, c := range i.Configs {
		if seen[c.Service] {
			return fmt.Errorf("configurations[%d]: %q stands twice", n, c.Service)
		}
		seen[c.Service] = true
		if err := c.check(); err != nil {
			return fmt.Errorf("configurations[%d]: %w", n, err)
		}
		total += c.size()
	}
	if len(seen) > MaxServices || total > MaxDocumentBytes {
		return fmt.Errorf("%d configurations with %d bytes are more than are held", len(seen), total)
	}
	return nil
}

// Newest is the highest version of the list and of all configurations.
func (i *Snapshot) NewestVersion() int64 {
	v := i.Version
	for _, c := range i.Configs {
		v = max(v, c.Version)
	}
	return v
}

// Lift is an image as the beginning of a line: its configurations have versions of that line. Configurations that others
// have and the image lacks are kept: nothing takes one out.
func (i Snapshot) Rebase(line string, index int64, others []Configuration) Snapshot {
	i.Epoch, i.Version = line, index
	i.Configs = slices.Clone(i.Configs)
	for _, o := range others {
		if !slices.ContainsFunc(i.Configs, func(c Configuration) bool { return c.Service == o.Service }) {
			i.Configs = append(i.Configs, o)
		}
	}
	for n := range i.Configs {
		i.Configs[n].Version, i.Configs[n].After = index, -1
	}
	return i
}
