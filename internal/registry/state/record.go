package state

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// The values of Endpoint.Status in the published protocol.
const (
	StatusServing  = "SERVING"
	StatusDraining = "DRAINING"
	StatusDeleted  = "DELETED" // removed from the list; only in changes, never in the whole list
)

const (
	// MinLease and MaxLease bound the lease duration that a registration may ask for.
	MinLease = time.Second
	MaxLease = 10 * time.Minute

	maxNameBytes  = 64
	maxFieldBytes = 128
	maxWeight     = 1e6
)

// Endpoint is a server as the published list shows it.
type Endpoint struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"` // HOST:PORT
	Zone        string  `json:"zone"`
	Type        string  `json:"type"`
	Cell        int     `json:"group"`
	Status      string  `json:"status"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"since_ms"` // last start of the server, Unix time in ms; 0: long ago
}

// Record is an endpoint with the fields that the registry stores but does not publish.
type Record struct {
	Endpoint
	Instance string `json:"instance"` // identifies one process of the server; a restart gets another one
	LeaseMs  int64  `json:"lease_ms"`
}

// InstanceRef identifies one process of a server.
type InstanceRef struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
}

// FieldError reports a field of a record that the registry does not accept.
type FieldError struct {
	Field string // JSON key
	Value string // as given, quoted if it is text; empty if the error is about its length or absence
	Need  string // what is accepted
}

// Error returns the field, its value and what is accepted.
func (e *FieldError) Error() string {
	if e.Value == "" {
		return e.Field + ": " + e.Need
	}
	return e.Field + " " + e.Value + ": " + e.Need
}

// Check returns a *FieldError for the first field that a registration may not have, and nil if there is none.
func (r *Record) Check() error {
	if r.Name == "" || len(r.Name) > maxNameBytes || strings.ContainsAny(r.Name, "/ ?#%\r\n\t") {
		return &FieldError{"name", fmt.Sprintf("%q", r.Name),
			fmt.Sprintf("1 to %d characters without spaces, slashes, ?, # and %% are needed", maxNameBytes)}
	}
	if _, _, err := net.SplitHostPort(r.Address); err != nil || len(r.Address) > maxFieldBytes {
		return &FieldError{"address", fmt.Sprintf("%q", r.Address),
			fmt.Sprintf("HOST:PORT is needed, at most %d characters", maxFieldBytes)}
	}
	for _, field := range [...]struct{ key, text string }{{"zone", r.Zone}, {"type", r.Type}, {"instance", r.Instance}} {
		if len(field.text) > maxFieldBytes {
			return &FieldError{Field: field.key, Need: fmt.Sprintf("at most %d characters", maxFieldBytes)}
		}
	}
	if r.Instance == "" {
		return &FieldError{Field: "instance", Need: "is missing; any word that is new with each start of the nodo's process"}
	}
	if !(r.Weight > 0 && r.Weight <= maxWeight) {
		return &FieldError{"weight", fmt.Sprint(r.Weight), "over 0 and at most 1e6 is needed"}
	}
	if r.StartedAtMs < 0 || r.Cell < 0 {
		return &FieldError{Field: "since_ms and group", Need: "0 or more is needed"}
	}
	if l := time.Duration(r.LeaseMs) * time.Millisecond; r.LeaseMs > MaxLease.Milliseconds() || l < MinLease {
		return &FieldError{"lease_ms", fmt.Sprint(r.LeaseMs),
			fmt.Sprintf("from %d to %d is needed", MinLease.Milliseconds(), MaxLease.Milliseconds())}
	}
	if r.Status != StatusServing {
		return &FieldError{"status", fmt.Sprintf("%q", r.Status), "a nodo registers as " + StatusServing}
	}
	return nil
}
