package settings

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"merlinpick/balancer"
)

// A document is the part of a configuration file that a service's proxies are told from afar: {"settings": {...}}, the
// settings whole, but for what is each proxy's own.

// DocumentMost bounds a document in its kept form, in bytes.
const MaxDocumentBytes = 64 << 10

// ServiceMost bounds a service's name, in bytes.
const MaxServiceNameBytes = 100

const settingsKey = "settings"

// CheckService tells what is wrong with a service's name.
func CheckService(name string) error {
	if name == "" || len(name) > MaxServiceNameBytes || strings.ContainsFunc(name, func(r rune) bool {
		return r <= ' ' || r == 0x7f || r == 0xfffd || strings.ContainsRune("/?#%", r)
	}) {
		return fmt.Errorf("service %q: 1 to %d bytes without spaces, slashes, ?, # and %% are needed", name, MaxServiceNameBytes)
	}
	return nil
}

// own are the keys of the settings that each proxy's file alone says.
var perProxyKeys = []string{"my_zone", "ordinal"}

// Canonical is a document's text in the one form in which it is kept, compared and sent on: without spaces, and as
// encoding/json would write it again. It is an error if it is no JSON object or too long.
func Canonical(text []byte) (json.RawMessage, error) {
	var c, b bytes.Buffer
	if err := json.Compact(&c, text); err != nil {
		return nil, &Error{"", err.Error()}
	}
	json.HTMLEscape(&b, c.Bytes())
	if b.Len() > MaxDocumentBytes {
		return nil, &Error{"", fmt.Sprintf("it has %d bytes, and there may be %d", b.Len(), MaxDocumentBytes)}
	}
	if b.Len() == 0 || b.Bytes()[0] != '{' {
		return nil, &Error{"", "is no JSON object"}
	}
	return b.Bytes(), nil
}

// CheckDocument reads a document as a proxy will, as far as that can be told without the proxy's own file. Its errors are
// each an *Error.
func CheckDocument(text []byte) error {
	rules, err := documentSettings(text)
	if err != nil {
		return err
	}
	if _, err = Read(rules); err != nil {
		return errorBelow(settingsKey, err)
	}
	return nil
}

// rulesOf is a document's settings, and no more is in it.
func documentSettings(text []byte) (json.RawMessage, error) {
	var doc map[string]json.RawMessage
	if err := json.Unmarshal(text, &doc); err != nil {
		return nil, errorBelow("", err)
	}
	for _, key := range slices.Sorted(maps.Keys(doc)) {
		if key != settingsKey {
			return nil, &Error{key, "cannot be changed under way; a document holds settings alone"}
		}
	}
	rules := doc[settingsKey]
	if len(rules) == 0 || string(rules) == "null" {
		return nil, &Error{settingsKey, "is missing"}
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(rules, &keys); err != nil {
		return nil, errorBelow(settingsKey, err)
	}
	for _, key := range perProxyKeys {
		if _, has := keys[key]; has {
			return nil, &Error{settingsKey + "." + key, "is each proxy's own: its file says it"}
		}
	}
	return rules, nil
}

// Above puts a document above the settings of a proxy's file, which keep what is the proxy's own. The zone is the one of
// the same name, wherever the document has it in its list.
func MergeDocument(base json.RawMessage, document []byte) (json.RawMessage, error) {
	rules, err := documentSettings(document)
	if err != nil {
		return nil, err
	}
	var out, file map[string]json.RawMessage
	var before, after struct {
		Zones []string `json:"failure_domains"`
		Zone  int      `json:"my_zone"`
	}
	if err := errors.Join(json.Unmarshal(rules, &out), json.Unmarshal(base, &file), json.Unmarshal(base, &before),
		json.Unmarshal(rules, &after)); err != nil {
		return nil, errorBelow(settingsKey, err)
	}
	for _, key := range perProxyKeys {
		if v, has := file[key]; has {
			out[key] = v
		}
	}
	if _, has := file["my_zone"]; has && before.Zone >= 0 && before.Zone < len(before.Zones) {
		name := before.Zones[before.Zone]
		at := slices.Index(after.Zones, name)
		if at < 0 {
			return nil, &Error{settingsKey + ".failure_domains", fmt.Sprintf("lacks %q, this proxy's own zone", name)}
		}
		out["my_zone"] = fmt.Append(nil, at)
	}
	return json.Marshal(out)
}

// Read reads the settings of a proxy on real sockets, and has the module judge its part.
func Read(text []byte) (*Site, error) {
	s, err := Decode(text)
	if err == nil {
		err = s.CheckSockets()
	}
	if err == nil {
		_, unfit := balancer.New(s.Balancer, 0)
		err = balancerError(unfit)
	}
	if err != nil {
		return nil, err
	}
	return s, nil
}

// settingsKeys are the settings' keys by the balancer's names of fields, where the two differ; those of the fields of one class
// or tenant are below its list's.
var settingsKeys = map[string]string{
	"Classes": "profiles", "ZoneCount": "failure_domains", "Zone": "my_zone",
	"Replicas": "siblings", "ReplicaIndex": "ordinal", "Tier": "stage",
	"MaxAttempts": "limits.try_limit", "MaxRetryAfter": "limits.max_retry_after_us",
	"OrderingCooldown": "contract.order_settle_us", "RetryBudgetWindow": "contract.ratio_span_us",
	"RetryBudgetMin": "contract.spare_attempts", "RetryBudgetRatio": "contract.resend_ratio",
	"DrainGrace": "contract.drain_grace_us", "PollInterval": "contract.ask_every_us",
	"SlowStartMinCapacity": "contract.start_capacity", "SlowStartDuration": "contract.cold_us",
	"OverloadMultiple": "contract.tip_multiple", "OverloadWindow": "contract.fall_us",

	"LatencyObjective": "objective_us", "Deadline": "give_up_us", "PriorityWeight": "worth", "LateWeight": "late_share",
	"DedupWindow": "dedup_window_us",
}

// moduleFault is an error of the module's about its settings, by the keys that these have in the file.
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

// faultOf names the key at fault, below a section.
func errorBelow(section string, err error) error {
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
