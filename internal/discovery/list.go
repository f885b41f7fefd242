package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
)

// The words of an entry's status.
const (
	StatusServing  = "SERVING"
	StatusDraining = "DRAINING"
	StatusDeleted  = "DELETED" // among changes only
)

// Endpoint is an entry of the list as discovery words it.
type Endpoint struct {
	Name        string   `json:"name"`
	Address     string   `json:"address"`
	Zone        string   `json:"zone"`
	Cell        int      `json:"group"`
	Status      string   `json:"status"`
	Weight      *float64 `json:"weight"`
	StartedAtMs int64    `json:"since_ms"`
}

// List is the list of backends, or what has changed in it.
type List struct {
	Version   int64
	Full      bool
	Epoch     string // of versions; the platform's list names none
	Endpoints []Endpoint
}

// Parse reads a list in discovery's form. A list with an entry that makes no sense is no list.
func Parse(data []byte) (*List, error) {
	var raw struct {
		Index     *int64      `json:"index"`
		Snapshot  *bool       `json:"snapshot"`
		Line      string      `json:"line"`
		Endpoints *[]Endpoint `json:"endpoints"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, err
	}
	if raw.Index == nil || raw.Snapshot == nil || raw.Endpoints == nil {
		return nil, errors.New("index, snapshot or endpoints is missing")
	}
	for i, e := range *raw.Endpoints {
		if e.Name == "" {
			return nil, fmt.Errorf("endpoints[%d]: name is missing", i)
		}
		switch e.Status {
		case StatusServing, StatusDraining:
			if _, _, err := net.SplitHostPort(e.Address); err != nil {
				return nil, fmt.Errorf("endpoints[%d]: %w", i, err)
			}
		case StatusDeleted:
		default:
			return nil, fmt.Errorf("endpoints[%d]: unknown status %q", i, e.Status)
		}
	}
	return &List{*raw.Index, *raw.Snapshot, raw.Line, *raw.Endpoints}, nil
}

// encode is a whole list in discovery's form.
func (l *List) encode() []byte {
	entries := l.Endpoints
	if entries == nil {
		entries = []Endpoint{}
	}
	text, err := json.Marshal(struct {
		Index     int64      `json:"index"`
		Snapshot  bool       `json:"snapshot"`
		Line      string     `json:"line,omitempty"`
		Endpoints []Endpoint `json:"endpoints"`
	}{l.Version, true, l.Epoch, entries})
	if err != nil {
		panic(err) // words, and numbers that were read as JSON
	}
	return text
}
