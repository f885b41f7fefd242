package settings

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"merlinpick/balancer"
)

// Error is a setting whose value cannot be used. Its texts are in the answers of the registry, so they use the protocol's
// keys.
type Error struct {
	Key     string // as in profiles[0].name; empty: the whole text
	Problem string
}

func (e *Error) Error() string { return e.Key + ": " + e.Problem }

func unknownWord(key, word string) error { return &Error{key, fmt.Sprintf("unknown word %q", word)} }

// balancerError returns an error of the balancer about its settings with the protocol's keys.
func balancerError(err error) error {
	var fault *balancer.SettingsError
	if !errors.As(err, &fault) {
		return err
	}
	key := cmp.Or(settingsKeys[fault.Field], fault.Field)
	if fault.List != "" {
		list := cmp.Or(settingsKeys[fault.List], fault.List)
		key = strings.TrimSuffix(fmt.Sprintf("%s[%d].%s", list, fault.Index, key), ".")
	}
	return &Error{key, fault.Problem}
}

// ErrorBelow returns an error of encoding/json or of this package as an *Error whose key stands below a section.
func ErrorBelow(section string, err error) *Error {
	var kind *json.UnmarshalTypeError
	var rule *Error
	under := func(key string) string { return strings.Trim(section+"."+key, ".") }
	switch {
	case errors.As(err, &kind):
		return &Error{under(kind.Field), "is a JSON " + kind.Value + ", not " + kind.Type.String()}
	case errors.As(err, &rule):
		return &Error{under(rule.Key), rule.Problem}
	}
	return &Error{section, err.Error()}
}
