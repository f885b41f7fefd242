package settings

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"merlinpick/balancer"
)

// Error reports an invalid setting. The registry includes its text in responses, so it names settings by the
// keys of the JSON format and not by Go field names.
type Error struct {
	Key     string // path of the setting, such as profiles[0].name; empty: the whole text
	Problem string // what is wrong with the value
}

// Error returns the key and the problem.
func (e *Error) Error() string { return e.Key + ": " + e.Problem }

// unknownWord returns an *Error for a value that is not among the names of an enumeration.
func unknownWord(key, word string) error { return &Error{key, fmt.Sprintf("unknown word %q", word)} }

// balancerError converts a *balancer.SettingsError, which names Go fields, to an *Error with the keys of the
// JSON format. It returns other errors unchanged.
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

// ErrorBelow converts an error of encoding/json or of this package to an *Error whose key is prefixed by a
// section.
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
