// Package hollow runs the control code of many proxies and nodos in one process, without the calls that real ones carry: a
// hollow proxy follows the list, takes part in the fleet's gossip and decides on calls that are drawn; a hollow nodo registers,
// renews, drains and dies at the list service. What runs is the program's own code (discovery, fleet/link, logic, the
// registrar), so that what passes on the network and how long it takes is what as many real processes would have. What a
// process costs beside that code is missing, and is told by the calibration (package result).
//
// The lab starts the processes, each with a file of this package's Config, and speaks to each at its control address.
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

// Config is what a process is told.
type Config struct {
	Name           string `json:"name"`
	ControlAddress string `json:"control"` // address at which it is asked and told
	FailureFile    string `json:"failure"` // file that tells why it ended, if a proxy or a nodo failed

	Proxies        []Proxy         `json:"proxies,omitempty"`
	Settings       json.RawMessage `json:"settings,omitempty"` // as real proxies are told; zone and ordinal are a proxy's own
	CallRate       float64         `json:"calls"`              // drawn, a second and proxy
	FailedFraction float64         `json:"bad"`                // part of them that come to nothing
	Cluster        *Cluster        `json:"fleet,omitempty"`    // nil: each decides alone
	Relays         *Relays         `json:"relays,omitempty"`   // nil: members find each other without

	Servers []Server `json:"nodos,omitempty"`
	LeaseMs int64    `json:"lease_ms,omitempty"`
}

// Proxy is one proxy.
type Proxy struct {
	Name            string   `json:"name"`
	Zone            string   `json:"zone"`
	ReplicaIndex    int      `json:"ordinal"`
	Seed            uint64   `json:"seed"`
	RegistryMembers []string `json:"lists"`          // members of the list service
	Bind            string   `json:"bind,omitempty"` // its address in the fleet
	Seeds           []string `json:"seeds,omitempty"`
	Service         string   `json:"service,omitempty"` // whose configuration it follows there; empty: none

	Advertise string `json:"advertise,omitempty"` // its relay's address in the fleet
}

// Fleet is what the members of the fleet have in common.
type Cluster struct {
	Label string `json:"label"`
}

// Nodo is one nodo.
type Server struct {
	Name            string   `json:"name"`
	Zone            string   `json:"zone"`
	Address         string   `json:"address"` // as listed; nobody is there
	RegistryMembers []string `json:"lists"`
}

// A FailedError is a proxy or a nodo that cannot go on. It ends the run.
type FailedError struct {
	Process string `json:"process"`
	Name    string `json:"name"`
	Reason  string `json:"cause"`
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("hollow %s (process %s) failed: %s; what it did stands in that process's log", e.Name, e.Process, e.Reason)
}

// Read reads a process's file.
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

// write leaves a failure for whoever started the process.
func (e *FailedError) write(path string) error {
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return atomicfile.WriteFile(path, text)
}

// Failure is what a process that has ended left: a *FailedError, or another error if it left nothing that can be read.
func ReadFailure(process, path string) error {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return &FailedError{Process: process, Name: "process " + process, Reason: "it ended by itself and left no word"}
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

// nanos is the machine's clock, which all processes of a run share.
func unixNano() int64 { return time.Now().UnixNano() }
