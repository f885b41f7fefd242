package transport

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// OpenError reports that the cluster address could not be opened.
type OpenError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *OpenError) Error() string {
	return fmt.Sprintf("open cluster address %s: %v; set fleet.bind to an address of this machine on which no other process "+
		"listens, for UDP and TCP", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *OpenError) Unwrap() error { return e.Err }

// JoinError reports that no seed accepted this member. Joining is retried, so no action is needed while seeds are merely
// late.
type JoinError struct {
	Seeds []string
	Err   error // of the last attempt
}

// Error implements error.
func (e *JoinError) Error() string {
	return fmt.Sprintf("join cluster: no member answers at %s: %v; it is retried; if this lasts, check that fleet.seeds are "+
		"members' addresses, that fleet.label is the same, and that UDP and TCP get through",
		strings.Join(e.Seeds, ", "), e.Err)
}

// Unwrap returns the cause.
func (e *JoinError) Unwrap() error { return e.Err }

// StoreError reports that the file of operators' overrides could not be read or written.
type StoreError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *StoreError) Error() string {
	return fmt.Sprintf("override file %s: %v; check disk space and the directory's permissions, and repeat the call",
		e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Err }

// ConfigError reports an invalid key of a Config.
type ConfigError struct{ Key, Problem, Remedy string }

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("fleet.%s: %s; %s", e.Key, e.Problem, e.Remedy)
}

// NotConfirmedError reports an override that was not confirmed in time, mostly because the disk is slow. It may still
// take effect.
type NotConfirmedError struct{ After time.Duration }

// Error implements error.
func (e *NotConfirmedError) Error() string {
	return fmt.Sprintf("the cluster did not confirm the override within %v (slow disk?); it may still take effect: repeat it",
		e.After)
}

// ErrClosed is returned by calls on a node that is not open, or has ended.
var ErrClosed = errors.New("the cluster address is not open: the other members were not notified; repeat the call at a " +
	"member whose address is open")

var (
	errUnreachable    = errors.New("no port, or the address of all interfaces")
	errWritesPending  = errors.New("earlier writes are still in progress")
	errForeignMember  = errors.New("not a member of this tier's cluster, or its metadata is invalid")
	errTooManyMembers = errors.New("the cluster has the maximum of members that are tracked")
	errStreamTooLong  = fmt.Errorf("a member sent over %d bytes", maxStreamBytes)
	errInvalidIP      = errors.New("not an IP address")
)
