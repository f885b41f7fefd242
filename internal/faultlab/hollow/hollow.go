// Package hollow runs the control-plane code of many proxies and servers in one process, without serving
// requests. A hollow proxy follows the endpoint list, gossips and decides on simulated calls. A hollow server
// registers, renews its lease, drains and dies.
//
// The package runs the product's own code (discovery, cluster, balancer, registrar), so that the traffic and
// the latency of the control plane are those of as many real processes. What a real process costs in addition
// is estimated by the calibration in package result.
//
// The lab starts each process with a file that holds a Config, and controls it over HTTP at its control
// address.
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

// Config configures a process of hollow proxies and servers.
type Config struct {
	Name           string `json:"name"`
	ControlAddress string `json:"control"` // address that Serve listens on
	FailureFile    string `json:"failure"` // path that a FailedError is written to

	Proxies        []Proxy         `json:"proxies,omitempty"`
	Settings       json.RawMessage `json:"settings,omitempty"` // zone and index are those of each Proxy
	CallRate       float64         `json:"calls"`              // calls per second of each proxy
	FailedFraction float64         `json:"bad"`                // fraction of the attempts that fail
	Cluster        *Cluster        `json:"fleet,omitempty"`    // nil: proxies do not gossip
	Relays         *Relays         `json:"relays,omitempty"`   // nil: members connect directly

	Servers []Server `json:"nodos,omitempty"`
	LeaseMs int64    `json:"lease_ms,omitempty"` // of each server
}

// Proxy configures one hollow proxy.
type Proxy struct {
	Name            string   `json:"name"`
	Zone            string   `json:"zone"`
	ReplicaIndex    int      `json:"ordinal"`
	Seed            uint64   `json:"seed"`
	RegistryMembers []string `json:"lists"`
	Bind            string   `json:"bind,omitempty"`    // address of its cluster transport
	Seeds           []string `json:"seeds,omitempty"`   // addresses of other cluster members
	Service         string   `json:"service,omitempty"` // service whose configuration it follows; empty: none

	Advertise string `json:"advertise,omitempty"` // address of its relay, given to other cluster members
}

// Cluster configures the cluster that the proxies join.
type Cluster struct {
	Label string `json:"label"`
}

// Server configures one hollow server.
type Server struct {
	Name            string   `json:"name"`
	Zone            string   `json:"zone"`
	Address         string   `json:"address"` // address in the registry; nothing listens there
	RegistryMembers []string `json:"lists"`
}

// FailedError reports a hollow proxy or server that failed. It ends the run.
type FailedError struct {
	Process string `json:"process"`
	Name    string `json:"name"`
	Reason  string `json:"cause"`
}

// Error names the proxy or server, its process and the reason.
func (e *FailedError) Error() string {
	return fmt.Sprintf("hollow %s (process %s) failed: %s; see that process's log", e.Name, e.Process, e.Reason)
}

// ReadConfig reads the configuration file of a process.
func ReadConfig(path string) (c Config, err error) {
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &c)
	}
	if err != nil {
		return c, fmt.Errorf("hollow: configuration file %s: %w", path, err)
	}
	return c, nil
}

// write writes the error to a file, which the process that started this one reads with ReadFailure.
func (e *FailedError) write(path string) error {
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return atomicfile.WriteFile(path, text)
}

// ReadFailure returns the failure of a process that has ended: a *FailedError, or another error if the
// failure file is unreadable.
func ReadFailure(process, path string) error {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return &FailedError{Process: process, Name: "process " + process,
			Reason: "it ended without a failure file"}
	}
	if err != nil {
		return err
	}
	e := &FailedError{}
	if err := json.Unmarshal(text, e); err != nil {
		return fmt.Errorf("hollow: failure file %s: %w", path, err)
	}
	return e
}

// unixNano returns the Unix time in nanoseconds. All processes of a run share the machine's clock.
func unixNano() int64 { return time.Now().UnixNano() }
