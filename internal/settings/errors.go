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

// unknownValue returns an *Error for a value that is not among the names of an enumeration.
func unknownValue(key, value string) error { return &Error{key, fmt.Sprintf("unknown word %q", value)} }

// balancerError converts a *balancer.SettingsError, which names Go fields, to an *Error with the keys of the
// JSON format. It returns other errors unchanged.
func balancerError(err error) error {
	var settingsErr *balancer.SettingsError
	if !errors.As(err, &settingsErr) {
		return err
	}
	key := cmp.Or(settingsKeys[settingsErr.Field], settingsErr.Field)
	if settingsErr.List != "" {
		list := cmp.Or(settingsKeys[settingsErr.List], settingsErr.List)
		key = strings.TrimSuffix(fmt.Sprintf("%s[%d].%s", list, settingsErr.Index, key), ".")
	}
	return &Error{key, settingsErr.Problem}
}

// WithSection converts an error of encoding/json or of this package to an *Error whose key is prefixed by a
// section.
func WithSection(section string, err error) *Error {
	var typeErr *json.UnmarshalTypeError
	var settingErr *Error
	fullKey := func(key string) string { return strings.Trim(section+"."+key, ".") }
	switch {
	case errors.As(err, &typeErr):
		return &Error{fullKey(typeErr.Field), "is a JSON " + typeErr.Value + ", not " + typeErr.Type.String()}
	case errors.As(err, &settingErr):
		return &Error{fullKey(settingErr.Key), settingErr.Problem}
	}
	return &Error{section, err.Error()}
}
