package view

import "fmt"

const resumedLife = 24 * 3600 * second

// HandRecord is a server's state by hand, as it is kept over a restart.
type HandRecord struct {
	Subject   string `json:"subject"`
	Suspended bool   `json:"suspended"`
	Version   uint64 `json:"version"`
	Actor     string `json:"actor"`
	Age       int64  `json:"age_ms"` // since the change; the caller adds the time that it was down
}

// FullError is a suspension that there is no room for, as all that is kept holds.
type FullError struct {
	Subject string
	Most    int
}

func (e *FullError) Error() string {
	return fmt.Sprintf("suspend %q: %d servers are suspended by hand, and no more are kept: resume some first", e.Subject, e.Most)
}

// NameError is a name that no entry may carry.
type NameError struct {
	Name string
	Most int
}

func (e *NameError) Error() string {
	return fmt.Sprintf("name %.40q: give one of 1 to %d bytes in UTF-8", e.Name, e.Most)
}

// Suspend suspends a server by hand for the whole fleet, and gives what is to be spread: nothing if it is suspended
// already. The error is a *NameError or a *FullError.
func (v *View) Suspend(now int64, nodo string) ([]Entry, error) { return nil, nil }

// Resume ends a suspension. It gives nothing for a server that is not suspended as far as is known here. The error is
// a *NameError.
func (v *View) Resume(now int64, nodo string) ([]Entry, error) { return nil, nil }

// Hand gives the servers that are suspended by hand.
func (v *View) Hand(now int64) map[string]bool { return nil }

// Hands gives all that is known by hand, resumptions included, by subject.
func (v *View) Hands(now int64) []HandRecord { return nil }

// Restore takes in what Hands gave, and gives how many records were not taken in, as not valid, ended or over the bound.
func (v *View) Restore(now int64, records []HandRecord) (refused int) { return 0 }
