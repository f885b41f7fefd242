package override

import (
	"fmt"
	"time"
)

// The texts of these errors are bodies of the management API's answers, in the words of its page.

// UnknownServerError rejects a call for a server that no list has named and that is not suspended.
type UnknownServerError struct{ Server string }

func (e *UnknownServerError) Error() string {
	return fmt.Sprintf("no list has named this nodo: %q; look for its id in discovery's list", e.Server)
}

// UnknownZoneError rejects a call for a zone that neither the settings nor a list have named.
type UnknownZoneError struct{ Zone string }

func (e *UnknownZoneError) Error() string {
	return fmt.Sprintf("neither settings nor lists have named this zone: %q; look for its name in GET /v1/zones", e.Zone)
}

// LastZoneError rejects a call that would leave no zone with servers.
type LastZoneError struct {
	Zone    string
	Drained []string // already
}

func (e *LastZoneError) Error() string {
	return fmt.Sprintf("drain zone %q: of those left no other has nodos that serve (drained now: %q); restore one first, or "+
		"suspend nodos one by one", e.Zone, e.Drained)
}

// StoreOp is an operation on the directory of overrides.
type StoreOp string

// The operations of a StoreError.
const (
	StoreOpAdd    StoreOp = "keep the ban"
	StoreOpRemove StoreOp = "drop the ban"
	StoreOpRead   StoreOp = "read the bans"
)

// StoreError is a failed operation on the directory of overrides.
type StoreError struct {
	Op   StoreOp
	Path string // of the override's file, or of the directory
	Err  error
}

func (e *StoreError) Error() string {
	return fmt.Sprintf("%s: %s: %v; see to its folder (there, writable, room left), then repeat the call", e.Op, e.Path, e.Err)
}

func (e *StoreError) Unwrap() error { return e.Err }

// storeError returns a *StoreError, or nil without err.
func storeError(op StoreOp, path string, err error) error {
	if err == nil {
		return nil
	}
	return &StoreError{op, path, err}
}

// StoreTimeoutError is a write that was not finished when the answer was due. It may or may not finish later.
type StoreTimeoutError struct{ After time.Duration }

func (e *StoreTimeoutError) Error() string {
	return fmt.Sprintf("the disk had not kept the change after %v; repeat the call to learn when it has", e.After)
}

// NotAppliedError is an override that is stored and will take effect, but had not when the answer was due.
type NotAppliedError struct{ After time.Duration }

func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("the proxy did not act on the call within %v; repeat it to learn when it does", e.After)
}
