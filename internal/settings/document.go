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
	// MaxDocumentBytes is the maximum size of a document in its canonical form.
	MaxDocumentBytes = 64 << 10
	// MaxServiceNameBytes is the maximum length of a service name.
	MaxServiceNameBytes = 100

	settingsKey = "settings" // the only top-level key that a document may have
)

// perProxyKeys are the settings that differ between proxies: only a proxy's own file sets them, never a
// document.
var perProxyKeys = []string{"my_zone", "ordinal"}

// CheckService returns an error unless name is a valid service name. The name is part of URLs, so it may hold
// no spaces, control characters or URL delimiters.
func CheckService(name string) error {
	if name == "" || len(name) > MaxServiceNameBytes || strings.ContainsFunc(name, func(r rune) bool {
		return r <= ' ' || r == 0x7f || r == 0xfffd || strings.ContainsRune("/?#%", r)
	}) {
		return fmt.Errorf("invalid service name %q: want 1 to %d bytes without spaces, slashes, ?, # and %%",
			name, MaxServiceNameBytes)
	}
	return nil
}

// Canonical returns the canonical form of a document, in which it is stored, compared and forwarded: compact
// and escaped as encoding/json would encode it. It returns an *Error if the text is not a JSON object or is
// too long.
func Canonical(text []byte) (json.RawMessage, error) {
	var compact, canonical bytes.Buffer
	if err := json.Compact(&compact, text); err != nil {
		return nil, &Error{"", err.Error()}
	}
	json.HTMLEscape(&canonical, compact.Bytes())
	if canonical.Len() > MaxDocumentBytes {
		return nil, &Error{"", fmt.Sprintf("the document has %d bytes; the limit is %d",
			canonical.Len(), MaxDocumentBytes)}
	}
	if canonical.Len() == 0 || canonical.Bytes()[0] != '{' {
		return nil, &Error{"", "the document is not a JSON object"}
	}
	return canonical.Bytes(), nil
}

// CheckDocument returns an *Error if a document is invalid for every proxy. What depends on a proxy's own
// file, such as its zone, is checked by MergeDocument.
func CheckDocument(text []byte) error {
	settings, err := documentSettings(text)
	if err != nil {
		return err
	}
	if _, err = Read(settings); err != nil {
		return WithSection(settingsKey, err)
	}
	return nil
}

// documentSettings returns the settings object of a document. It returns an *Error if the document has
// another top-level key or a per-proxy setting.
func documentSettings(text []byte) (json.RawMessage, error) {
	var sections map[string]json.RawMessage
	if err := json.Unmarshal(text, &sections); err != nil {
		return nil, WithSection("", err)
	}
	for _, key := range slices.Sorted(maps.Keys(sections)) {
		if key != settingsKey {
			return nil, &Error{key, "cannot be changed under way; a document may hold only settings"}
		}
	}
	settings := sections[settingsKey]
	if len(settings) == 0 || string(settings) == "null" {
		return nil, &Error{settingsKey, "is missing"}
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(settings, &keys); err != nil {
		return nil, WithSection(settingsKey, err)
	}
	for _, key := range perProxyKeys {
		if _, found := keys[key]; found {
			return nil, &Error{settingsKey + "." + key, "is set by each proxy's own file, not by a document"}
		}
	}
	return settings, nil
}

// MergeDocument returns a document's settings together with the per-proxy settings of a proxy's file.
// Documents may list the zones in another order than the file, so the index of the proxy's zone is looked up
// by the zone's name. Errors are of type *Error.
func MergeDocument(fileSettings json.RawMessage, text []byte) (json.RawMessage, error) {
	settings, err := documentSettings(text)
	if err != nil {
		return nil, err
	}
	var merged, file map[string]json.RawMessage
	var fileZones, documentZones struct { // Read checks the other settings
		Zones []string `json:"failure_domains"`
		Zone  int      `json:"my_zone"`
	}
	if err := errors.Join(json.Unmarshal(settings, &merged), json.Unmarshal(fileSettings, &file),
		json.Unmarshal(fileSettings, &fileZones), json.Unmarshal(settings, &documentZones)); err != nil {
		return nil, WithSection(settingsKey, err)
	}
	for _, key := range perProxyKeys {
		if value, found := file[key]; found {
			merged[key] = value
		}
	}
	if _, found := file["my_zone"]; found && fileZones.Zone >= 0 && fileZones.Zone < len(fileZones.Zones) {
		name := fileZones.Zones[fileZones.Zone]
		index := slices.Index(documentZones.Zones, name)
		if index < 0 {
			return nil, &Error{settingsKey + ".failure_domains",
				fmt.Sprintf("does not list %q, the zone of this proxy", name)}
		}
		merged["my_zone"] = fmt.Append(nil, index)
	}
	return json.Marshal(merged)
}

// Read decodes the settings of a proxy that serves real connections and checks all of them. Errors are of
// type *Error or come from encoding/json.
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
