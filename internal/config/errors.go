package config

import (
	"encoding/json"
	"errors"
	"strings"

	"merlinpick/internal/settings"
)

// ConfigError is a fault of the configuration.
type ConfigError struct {
	File    string // empty: there is none
	Key     string // as in settings.profiles[0].name, or a word of the environment; empty: the whole file
	Problem string
	Remedy  string
}

func (e *ConfigError) Error() string {
	var at []string
	for _, part := range []string{e.File, e.Key, e.Problem} {
		if part != "" {
			at = append(at, part)
		}
	}
	return strings.Join(at, ": ") + "; " + e.Remedy
}

// under puts a key that is told within a section behind the section's.
func joinKey(section, key string) string { return strings.Trim(section+"."+key, ".") }

// unreadable is the fault of a section that could not be read, by the key that the error tells of.
func decodeError(section string, err error) *ConfigError {
	fault := &ConfigError{Key: section, Problem: err.Error(), Remedy: "correct it; nothing of the file is in force"}
	var kind *json.UnmarshalTypeError
	var rule *settings.Error
	switch {
	case errors.As(err, &kind):
		fault.Key, fault.Problem = joinKey(section, kind.Field), "is a JSON "+kind.Value+", not "+kind.Type.String()
	case errors.As(err, &rule):
		fault.Key, fault.Problem = joinKey(section, rule.Key), rule.Problem
	}
	return fault
}
