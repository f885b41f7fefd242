package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"merlinpick/balancer"
)

const (
	// MaxDocumentBytes is the size of a document in its canonical form, at most.
	MaxDocumentBytes = 64 << 10
	// MaxServiceNameBytes is the length of a service's name, at most.
	MaxServiceNameBytes = 100

	settingsKey = "settings" // the only key of a document
)

// perProxyKeys are the settings that only the proxy's own file gives.
var perProxyKeys = []string{"my_zone", "ordinal"}

// CheckService returns an error if a service's name cannot be used: it is part of URLs.
func CheckService(name string) error {
	if name == "" || len(name) > MaxServiceNameBytes || strings.ContainsFunc(name, func(r rune) bool {
		return r <= ' ' || r == 0x7f || r == 0xfffd || strings.ContainsRune("/?#%", r)
	}) {
		return fmt.Errorf("service %q: 1 to %d bytes without spaces, slashes, ?, # and %% are needed", name, MaxServiceNameBytes)
	}
	return nil
}

// Canonical returns the form of a document in which it is stored, compared and forwarded: without spaces, and as
// encoding/json would write it again. A text that is no JSON object or too long is an *Error.
func Canonical(text []byte) (json.RawMessage, error) {
	var compact, canonical bytes.Buffer
	if err := json.Compact(&compact, text); err != nil {
		return nil, &Error{"", err.Error()}
	}
	json.HTMLEscape(&canonical, compact.Bytes())
	if canonical.Len() > MaxDocumentBytes {
		return nil, &Error{"", fmt.Sprintf("it has %d bytes, and there may be %d", canonical.Len(), MaxDocumentBytes)}
	}
	if canonical.Len() == 0 || canonical.Bytes()[0] != '{' {
		return nil, &Error{"", "is no JSON object"}
	}
	return canonical.Bytes(), nil
}

// CheckDocument returns an *Error if no proxy could use a document, as far as that shows without a proxy's own file.
func CheckDocument(text []byte) error {
	settings, err := documentSettings(text)
	if err != nil {
		return err
	}
	if _, err = Read(settings); err != nil {
		return ErrorBelow(settingsKey, err)
	}
	return nil
}

// documentSettings returns the settings of a document, which may hold nothing else. Its errors are an *Error.
func documentSettings(text []byte) (json.RawMessage, error) {
	var sections map[string]json.RawMessage
	if err := json.Unmarshal(text, &sections); err != nil {
		return nil, ErrorBelow("", err)
	}
	for _, key := range slices.Sorted(maps.Keys(sections)) {
		if key != settingsKey {
			return nil, &Error{key, "cannot be changed under way; a document holds settings alone"}
		}
	}
	settings := sections[settingsKey]
	if len(settings) == 0 || string(settings) == "null" {
		return nil, &Error{settingsKey, "is missing"}
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(settings, &keys); err != nil {
		return nil, ErrorBelow(settingsKey, err)
	}
	for _, key := range perProxyKeys {
		if _, found := keys[key]; found {
			return nil, &Error{settingsKey + "." + key, "is each proxy's own: its file says it"}
		}
	}
	return settings, nil
}

// MergeDocument returns a document's settings with the per-proxy ones of the proxy's file. The proxy's zone is found in
// the document by its name. Its errors are an *Error.
func MergeDocument(fileSettings json.RawMessage, text []byte) (json.RawMessage, error) {
	settings, err := documentSettings(text)
	if err != nil {
		return nil, err
	}
	var merged, file map[string]json.RawMessage
	var before, after struct { // the rest is checked by Read
		Zones []string `json:"failure_domains"`
		Zone  int      `json:"my_zone"`
	}
	if err := errors.Join(json.Unmarshal(settings, &merged), json.Unmarshal(fileSettings, &file),
		json.Unmarshal(fileSettings, &before), json.Unmarshal(settings, &after)); err != nil {
		return nil, ErrorBelow(settingsKey, err)
	}
	for _, key := range perProxyKeys {
		if value, found := file[key]; found {
			merged[key] = value
		}
	}
	if _, found := file["my_zone"]; found && before.Zone >= 0 && before.Zone < len(before.Zones) {
		name := before.Zones[before.Zone]
		index := slices.Index(after.Zones, name)
		if index < 0 {
			return nil, &Error{settingsKey + ".failure_domains", fmt.Sprintf("lacks %q, this proxy's own zone", name)}
		}
		merged["my_zone"] = fmt.Append(nil, index)
	}
	return json.Marshal(merged)
}

// Read decodes and checks the settings of a proxy on sockets. Its errors are an *Error or those of encoding/json.
func Read(text []byte) (*Site, error) {
	site, err := Decode(text)
	if err == nil {
		err = site.CheckSockets()
	}
	if err == nil {
		_, settingsErr := balancer.New(site.Balancer, 0)
		err = balancerError(settingsErr)
	}
	if err != nil {
		return nil, err
	}
	return site, nil
}
