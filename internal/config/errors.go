package config

import (
	"strings"

	"merlinpick/internal/settings"
)

// Error reports a problem with the configuration and how to correct it.
type Error struct {
	File    string // path of the configuration file; empty: the error is not about a file
	Key     string // path such as settings.profiles[0].name, or a variable's name; empty: the whole file
	Problem string // what is wrong
	Remedy  string // what the operator can do about it
}

// Error returns the file, the key and the problem, as far as they are known, and the remedy.
func (e *Error) Error() string {
	var parts []string
	for _, part := range []string{e.File, e.Key, e.Problem} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ") + "; " + e.Remedy
}

// decodeError converts an error of decoding a section to an *Error. Its key is the one that the error names,
// or the section.
func decodeError(section string, err error) *Error {
	settingErr := settings.WithSection(section, err)
	return &Error{Key: settingErr.Key, Problem: settingErr.Problem,
		Remedy: "correct it; nothing from the file was applied"}
}
