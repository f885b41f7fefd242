// Package hollow runs the control code of many proxies and servers in one process, without requests: a hollow proxy follows
// the endpoint list, gossips and decides on drawn calls; a hollow server registers, renews, drains and dies at the registry.
// It runs the program's own code (discovery, cluster, balancer, registrar), so traffic and latency of the control plane are
// those of as many real processes. What a process costs beside that code is estimated by the calibration (package result).
//
// The lab starts each process with a file of this package's Config and talks to it at its control address.
package hollow

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"merlinpick/internal/atomicfile"
)

// Config configures a process.
type Config struct {
	Name           string `json:"name"`
	ControlAddress string `json:"control"` // address of Serve
	FailureFile    string `json:"failure"` // file for a FailedError

	Proxies        []Proxy         `json:"proxies,omitempty"`
	Settings       json.RawMessage `json:"settings,omitempty"` // as of real proxies; zone and replica index are each proxy's own
	CallRate       float64         `json:"calls"`              // calls a second of each proxy
	FailedFraction float64         `json:"bad"`                // of calls
	Cluster        *Cluster        `json:"fleet,omitempty"`    // nil: proxies do not gossip
	Relays         *Relays         `json:"relays,omitempty"`   // nil: members connect directly

	Servers []Server `json:"nodos,omitempty"`
	LeaseMs int64    `json:"lease_ms,omitempty"`
}

// Proxy configures one proxy.
type Proxy struct {
	Name            string   `json:"name"`
	Zone            string   `json:"zone"`
	ReplicaIndex    int      `json:"ordinal"`
	Seed            uint64   `json:"seed"`
	RegistryMembers []string `json:"lists"`
	Bind            string   `json:"bind,omitempty"` // in the cluster
	Seeds           []string `json:"seeds,omitempty"`
	Service         string   `json:"service,omitempty"` // whose configuration it follows; empty: none

	Advertise string `json:"advertise,omitempty"` // of its relay
}

// Cluster configures the cluster.
type Cluster struct {
	Label string `json:"label"`
}

// Server configures one server.
type Server struct {
	Name            string   `json:"name"`
	Zone            string   `json:"zone"`
	Address         string   `json:"address"` // as listed; nothing listens there
	RegistryMembers []string `json:"lists"`
}

// FailedError reports a proxy or server that failed. It ends the run.
type FailedError struct {
	Process string `json:"process"`
	Name    string `json:"name"`
	Reason  string `json:"cause"`
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("hollow %s (process %s) failed: %s; see that process's log", e.Name, e.Process, e.Reason)
}

// ReadConfig reads a process's file.
func ReadConfig(path string) (c Config, err error) {
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &c)
	}
	if err != nil {
		return c, fmt.Errorf("hollow: %s: %w", path, err)
	}
	return c, nil
}

// write writes the failure for the process that started this one.
func (e *FailedError) write(path string) error {
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return atomicfile.WriteFile(path, text)
}

// ReadFailure returns the error of a process that has ended: a *FailedError, or another error if its file is unreadable.
func ReadFailure(process, path string) error {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return &FailedError{Process: process, Name: "process " + process, Reason: "it ended without writing a reason"}
	}
	if err != nil {
		return err
	}
	e := &FailedError{}
	if err := json.Unmarshal(text, e); err != nil {
		return fmt.Errorf("hollow: %s: %w", path, err)
	}
	return e
}

// unixNano returns the machine's clock, which all processes of a run share.
func unixNano() int64 { return time.Now().UnixNano() }
