package capacity

import (
	"errors"
	"fmt"
)

var (
	// ErrUnknownSlope reports a reference to a slope that no file under docs/capacity/slopes records.
	ErrUnknownSlope = errors.New("no such slope is recorded under docs/capacity/slopes; correct the name or record it")
	// ErrNonlinear reports an estimate outside of the measured range of a slope that is not linear.
	ErrNonlinear = errors.New("the slope is not linear and was not measured there; measure it at this size")
)

// FileError reports an invalid entry of a file under docs/capacity.
type FileError struct {
	File   string // relative to docs/capacity
	Key    string // the entry or key
	Reason string // what is wrong and what is required
	Err    error  // the cause, or nil
}

// Error returns the file, the key and the reason.
func (e *FileError) Error() string { return e.File + ": " + e.Key + ": " + e.Reason }

// Unwrap returns the cause, or nil.
func (e *FileError) Unwrap() error { return e.Err }

// fileErrors collects the invalid entries of one file.
type fileErrors struct {
	file   string
	errors []error
}

func (f *fileErrors) add(key, format string, args ...any) {
	f.errors = append(f.errors, &FileError{File: f.file, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (f *fileErrors) addCause(key string, err error) {
	f.errors = append(f.errors, &FileError{File: f.file, Key: key, Reason: err.Error(), Err: err})
}

func (f *fileErrors) join() error { return errors.Join(f.errors...) }

// SlopeError reports an invalid field of a slope.
type SlopeError struct {
	Field  string // the TOML key, or the keys
	Reason string // what is wrong and what is required
}

// Error returns the field and the reason.
func (e *SlopeError) Error() string { return e.Field + ": " + e.Reason }

func slopeError(field, format string, args ...any) error {
	return &SlopeError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// PageError reports a page whose table markers are invalid.
type PageError struct {
	Line   int    // from 1; 0 if no single line is at fault
	Table  string // the table's name; empty if the marker names none
	Reason string // what is wrong and what is required
}

// Error returns the line or the table, and the reason.
func (e *PageError) Error() string {
	switch {
	case e.Line == 0:
		return fmt.Sprintf("table %q: %s", e.Table, e.Reason)
	case e.Table == "":
		return fmt.Sprintf("line %d: %s", e.Line, e.Reason)
	}
	return fmt.Sprintf("line %d: table %q: %s", e.Line, e.Table, e.Reason)
}
