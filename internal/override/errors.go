package override

import (
	"fmt"
	"time"
)

// UnknownError is the answer to a call on a server that no list has named and that is not out.
type UnknownServerError struct{ Server string }

func (e *UnknownServerError) Error() string {
	return fmt.Sprintf("no list has named this nodo: %q; look for its id in discovery's list", e.Server)
}

// Op is what was to be done with the store.
type StoreOp string

// What a StoreError may be about.
const (
	StoreOpAdd    StoreOp = "keep the ban"
	StoreOpRemove StoreOp = "drop the ban"
	StoreOpRead   StoreOp = "read the bans"
)

// StoreError tells that the folder of the bans could not be read or changed.
type StoreError struct {
	Op   StoreOp
	Path string // of the ban's file, or of the folder
	Err  error
}

func (e *StoreError) Error() string {
	return fmt.Sprintf("%s: %s: %v; see to its folder (there, writable, room left), then repeat the call", e.Op, e.Path, e.Err)
}

func (e *StoreError) Unwrap() error { return e.Err }

// failed is a *StoreError, or nil without err.
func storeError(op StoreOp, path string, err error) error {
	if err == nil {
		return nil
	}
	return &StoreError{op, path, err}
}

// SlowError tells that the disk was still busy with the change when the answer was due. It may hold, or not yet.
type StoreTimeoutError struct{ After time.Duration }

func (e *StoreTimeoutError) Error() string {
	return fmt.Sprintf("the disk had not kept the change after %v; repeat the call to learn when it has", e.After)
}

// LateError tells that what a call says is kept and will hold, but does not yet.
type NotAppliedError struct{ After time.Duration }

func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("the proxy did not act on the call within %v; repeat it to learn when it does", e.After)
}
