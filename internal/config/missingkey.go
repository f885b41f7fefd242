package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// missingKey returns an *Error about the first key that a previous configuration has and the next one lacks,
// which may be the sign of a truncated file, or nil if there is none. An entry of a list must have the keys
// that all previous entries have in common. The initial endpoint list is not compared, since discovery
// replaces it.
func missingKey(previous, next []byte) *Error {
	var previousKeys, nextKeys map[string]any
	if err := errors.Join(json.Unmarshal(previous, &previousKeys), json.Unmarshal(next, &nextKeys)); err != nil {
		return decodeError("", err)
	}
	delete(previousKeys, "known")
	return findMissingKey("", previousKeys, nextKeys)
}

// findMissingKey returns an *Error about the first key below key that previous has and next lacks, or nil.
func findMissingKey(key string, previous, next any) *Error {
	switch previous := previous.(type) {
	case map[string]any:
		next, ok := next.(map[string]any)
		if !ok {
			return missingKeyError(key, "is not an object")
		}
		for _, name := range slices.Sorted(maps.Keys(previous)) {
			value, ok := next[name]
			if !ok {
				return missingKeyError(key+"."+name, "is missing")
			}
			if err := findMissingKey(key+"."+name, previous[name], value); err != nil {
				return err
			}
		}
	case []any:
		next, ok := next.([]any)
		if !ok {
			return missingKeyError(key, "is not a list")
		}
		common := commonKeys(previous)
		if len(common) == 0 {
			return nil
		}
		for i, entry := range next {
			if err := findMissingKey(fmt.Sprintf("%s[%d]", key, i), common, entry); err != nil {
				return err
			}
		}
	}
	return nil
}

// missingKeyError returns the *Error for a key that a reload would remove.
func missingKeyError(key, problem string) *Error {
	return &Error{Key: strings.TrimPrefix(key, "."), Problem: problem,
		Remedy: "set it as in the active configuration; removing a key needs a restart"}
}

// commonKeys returns the keys that all entries of a list have, with nil values. It returns nil if an entry is
// not an object.
func commonKeys(list []any) map[string]any {
	var common map[string]any
	for _, entry := range list {
		object, ok := entry.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(object)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { _, found := object[key]; return !found })
	}
	for key := range common {
		common[key] = nil
	}
	return common
}
