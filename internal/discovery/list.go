package discovery

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
)

// Values of Endpoint.Status.
const (
	StatusServing  = "SERVING"
	StatusDraining = "DRAINING" // accepts no new requests
	StatusDeleted  = "DELETED"  // removed; only in lists of changes
)

// Endpoint is an entry of the list. The tags are the field names of the protocol.
type Endpoint struct {
	Name        string   `json:"name"`
	Address     string   `json:"address"` // HOST:PORT
	Zone        string   `json:"zone"`
	Cell        int      `json:"group"`
	Status      string   `json:"status"`
	Weight      *float64 `json:"weight"`   // capacity hint; nil: none
	StartedAtMs int64    `json:"since_ms"` // start of the endpoint's process, Unix time in ms; 0: unknown
}

// List is a full list of endpoints, or the changes to one.
type List struct {
	Version   int64
	Snapshot  bool   // whether Endpoints is the full list; otherwise it holds the changes only
	Epoch     string // versions are comparable within an epoch; empty for the platform list
	Endpoints []Endpoint
}

// ApplyTo applies the entries of the list to endpoints by name: it removes the deleted ones and replaces the
// others.
func (l *List) ApplyTo(endpoints map[string]Endpoint) {
	for _, endpoint := range l.Endpoints {
		if endpoint.Status == StatusDeleted {
			delete(endpoints, endpoint.Name)
		} else {
			endpoints[endpoint.Name] = endpoint
		}
	}
}

// SortedEndpoints returns endpoints in the order of their names.
func SortedEndpoints(endpoints map[string]Endpoint) []Endpoint {
	return slices.SortedFunc(maps.Values(endpoints), func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
}

// listMessage is a list in the JSON form of the protocol.
type listMessage struct {
	Version   int64      `json:"index"`
	Full      bool       `json:"snapshot"`
	Epoch     string     `json:"line,omitempty"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Parse decodes a list in the JSON form of the protocol. It returns an error if any entry is malformed.
func Parse(data []byte) (*List, error) {
	var message struct {
		Version   *int64      `json:"index"`
		Full      *bool       `json:"snapshot"`
		Epoch     string      `json:"line"`
		Endpoints *[]Endpoint `json:"endpoints"`
	}
	if err := json.Unmarshal(data, &message); err != nil {
		return nil, err
	}
	if message.Version == nil || message.Full == nil || message.Endpoints == nil {
		return nil, errors.New("index, snapshot or endpoints is missing")
	}
	for i, endpoint := range *message.Endpoints {
		if err := endpoint.validate(); err != nil {
			return nil, fmt.Errorf("endpoints[%d]: %w", i, err)
		}
	}
	return &List{*message.Version, *message.Full, message.Epoch, *message.Endpoints}, nil
}

// validate returns an error if the endpoint is malformed.
func (e Endpoint) validate() error {
	if e.Name == "" {
		return errors.New("name is missing")
	}
	switch e.Status {
	case StatusServing, StatusDraining:
		_, _, err := net.SplitHostPort(e.Address)
		return err
	case StatusDeleted:
		return nil
	}
	return fmt.Errorf("unknown status %q", e.Status)
}

// encode returns the list in the JSON form of the protocol, marked as a full list.
func (l *List) encode() []byte {
	endpoints := l.Endpoints
	if endpoints == nil {
		endpoints = []Endpoint{}
	}
	text, err := json.Marshal(listMessage{l.Version, true, l.Epoch, endpoints})
	if err != nil {
		panic(err) // cannot happen: strings, and numbers that were decoded from JSON
	}
	return text
}
