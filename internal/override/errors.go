package override

import (
	"fmt"
	"time"
)

// The texts of these errors are response bodies of the management API and use the terms of its documentation:
// a ban is an override, a nodo is a server.

// UnknownServerError means that the server was never named by a list and is not suspended.
type UnknownServerError struct{ Server string }

func (e *UnknownServerError) Error() string {
	return fmt.Sprintf("no list has named this nodo: %q; look for its id in discovery's list", e.Server)
}

// UnknownZoneError means that the zone was never named by the settings or a list, and is not drained.
type UnknownZoneError struct{ Zone string }

func (e *UnknownZoneError) Error() string {
	return fmt.Sprintf("neither settings nor lists have named this zone: %q; look for its name in GET /v1/zones", e.Zone)
}

// LastZoneError means that draining the zone would leave no zone with servers that accept requests.
type LastZoneError struct {
	Zone    string
	Drained []string // zones that are drained already
}

func (e *LastZoneError) Error() string {
	return fmt.Sprintf("drain zone %q: of those left no other has nodos that serve (drained now: %q); restore one first, or "+
		"suspend nodos one by one", e.Zone, e.Drained)
}

// StoreOp is an operation on the directory of stored overrides.
type StoreOp string

// Operations of a StoreError.
const (
	StoreOpAdd    StoreOp = "keep the ban"
	StoreOpRemove StoreOp = "drop the ban"
	StoreOpRead   StoreOp = "read the bans"
)

// StoreError is a failed operation on the directory of stored overrides.
type StoreError struct {
	Op   StoreOp
	Path string // the override's file, or the directory
	Err  error
}

func (e *StoreError) Error() string {
	return fmt.Sprintf("%s: %s: %v; see to its folder (there, writable, room left), then repeat the call",
		e.Op, e.Path, e.Err)
}

func (e *StoreError) Unwrap() error { return e.Err }

// storeError returns a *StoreError that wraps err, or nil if err is nil.
func storeError(op StoreOp, path string, err error) error {
	if err == nil {
		return nil
	}
	return &StoreError{op, path, err}
}

// StoreTimeoutError means that a write was not finished when the call had to be answered. It may still
// succeed or fail.
type StoreTimeoutError struct{ After time.Duration }

func (e *StoreTimeoutError) Error() string {
	return fmt.Sprintf("the disk had not kept the change after %v; repeat the call to learn when it has",
		e.After)
}

// NotAppliedError means that an override is stored but was not in effect when the call had to be answered. It
// will take effect.
type NotAppliedError struct{ After time.Duration }

func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("the proxy did not act on the call within %v; repeat it to learn when it does",
		e.After)
}
