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

// Error returns a message with the address, the cause and the remedy.
func (e *OpenError) Error() string {
	return fmt.Sprintf("open cluster address %s: %v; set fleet.bind to an address of this machine on which no other process "+
		"listens, for UDP and TCP", e.Addr, e.Err)
}

// Unwrap returns the underlying error.
func (e *OpenError) Unwrap() error { return e.Err }

// JoinError reports that no seed accepted this member. Joining is retried, so no action is needed while seeds
// are just starting.
type JoinError struct {
	Seeds []string
	Err   error // of the last attempt
}

// Error returns a message with the addresses, the last cause and the remedy.
func (e *JoinError) Error() string {
	return fmt.Sprintf("join cluster: no member answers at %s: %v; this is retried; if it lasts, check that "+
		"fleet.seeds are member addresses, fleet.label is the same for all, and UDP and TCP are not blocked",
		strings.Join(e.Seeds, ", "), e.Err)
}

// Unwrap returns the underlying error.
func (e *JoinError) Unwrap() error { return e.Err }

// StoreError reports that the file with operators' overrides could not be read or written.
type StoreError struct {
	Path string
	Err  error
}

// Error returns a message with the file, the cause and the remedy.
func (e *StoreError) Error() string {
	return fmt.Sprintf("override file %s: %v; check disk space and the directory's permissions, and repeat the call",
		e.Path, e.Err)
}

// Unwrap returns the underlying error.
func (e *StoreError) Unwrap() error { return e.Err }

// ConfigError reports an invalid key of a Config.
type ConfigError struct{ Key, Problem, Remedy string }

// Error returns a message with the key, the problem and the remedy.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("fleet.%s: %s; %s", e.Key, e.Problem, e.Remedy)
}

// NotConfirmedError reports an override that was not confirmed in time, usually because the disk is slow. The
// override may still take effect.
type NotConfirmedError struct{ After time.Duration }

// Error returns a message with the time waited and the remedy.
func (e *NotConfirmedError) Error() string {
	return fmt.Sprintf("the cluster did not confirm the override within %v (slow disk?); it may still take effect: repeat it",
		e.After)
}

// ErrClosed is returned by calls on a node that is not open or has ended.
var ErrClosed = errors.New("the cluster address is not open: the other members were not notified; repeat the call at a " +
	"member whose address is open")

var (
	errUnreachable    = errors.New("the port is 0, or the IP address is unspecified")
	errWritesPending  = errors.New("earlier writes are still in progress")
	errForeignMember  = errors.New("the node is not in this tier's cluster, or its metadata is invalid")
	errTooManyMembers = errors.New("the maximum number of live members is reached")
	errStreamTooLong  = fmt.Errorf("a member sent more than %d bytes on one connection", maxStreamBytes)
	errInvalidIP      = errors.New("not an IP address")
)
