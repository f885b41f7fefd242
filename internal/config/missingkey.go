package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// lacks tells of the first key that a former configuration has and the next one lacks: what a file that was cut
// short, or saved in the middle, may show and still make sense. Entries of a list are compared by the keys that all
// of them have. What the list of servers holds is discovery's and not compared.
func missingKey(former, next []byte) *ConfigError {
	var a, b map[string]any
	if err := errors.Join(json.Unmarshal(former, &a), json.Unmarshal(next, &b)); err != nil {
		return decodeError("", err)
	}
	delete(a, "known")
	return missingBelow("", a, b)
}

func missingBelow(at string, former, next any) *ConfigError {
	switch a := former.(type) {
	case map[string]any:
		b, ok := next.(map[string]any)
		if !ok {
			return missingKeyError(at, "no object")
		}
		for _, key := range slices.Sorted(maps.Keys(a)) {
			v, ok := b[key]
			if !ok {
				return missingKeyError(at+"."+key, "is missing")
			}
			if err := missingBelow(at+"."+key, a[key], v); err != nil {
				return err
			}
		}
	case []any:
		b, ok := next.([]any)
		if !ok {
			return missingKeyError(at, "no list")
		}
		common := commonKeys(a)
		for i, entry := range b {
			if err := missingBelow(fmt.Sprintf("%s[%d]", at, i), common, entry); len(common) > 0 && err != nil {
				return err
			}
		}
	}
	return nil
}

func missingKeyError(at, problem string) *ConfigError {
	return &ConfigError{Key: strings.TrimPrefix(at, "."), Problem: problem,
		Remedy: "give it as the file in force does; to do without it, restart"}
}

// commonKeys are the keys that all entries of a list have.
func commonKeys(list []any) map[string]any {
	var common map[string]any
	for _, entry := range list {
		m, ok := entry.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(m)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { _, ok := m[key]; return !ok })
	}
	for key := range common {
		common[key] = nil // their values are each entry's own
	}
	return common
}
