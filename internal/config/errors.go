package config

import (
	"strings"

	"merlinpick/internal/settings"
)

// Error is a fault of the configuration.
type Error struct {
	File    string // empty: there is none
	Key     string // as in settings.profiles[0].name, or an environment variable; empty: the whole file
	Problem string
	Remedy  string
}

func (e *Error) Error() string {
	var parts []string
	for _, part := range []string{e.File, e.Key, e.Problem} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ") + "; " + e.Remedy
}

// decodeError returns an *Error about a section, or a key below it that the error names.
func decodeError(section string, err error) *Error {
	fault := settings.WithSection(section, err)
	return &Error{Key: fault.Key, Problem: fault.Problem, Remedy: "correct it; nothing of the file is in force"}
}
