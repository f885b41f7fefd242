package cluster

import (
	"cmp"
	"encoding/json"
	"errors"

	"merlinpick/internal/cluster/transport"
	"merlinpick/internal/config"
	"merlinpick/internal/proxy"
)

const defaultBind = "127.0.0.1:7946" // memberlist's port

// ReadConfig reads the "fleet" section of the configuration. It is a config.ClusterReader. proxyName is the
// member's name if the section has none. The error is a *config.Error, or an error of package json.
func ReadConfig(text json.RawMessage, proxyName string) (*proxy.ClusterPlan, error) {
	cfg, parsed, err := parseSection(text, proxyName)
	if err != nil {
		return nil, err
	}
	return &proxy.ClusterPlan{
		Descriptors:         transport.MaxDescriptors,
		DisableFlapDamping:  disabled(parsed.Damping),
		DisableWeightTuning: disabled(parsed.Tuning),
		Open: func(identity proxy.ClusterIdentity) (proxy.Cluster, error) {
			m, err := newMember(*cfg, identity)
			if err != nil {
				return nil, err // not m: an interface that holds a nil *member is not nil
			}
			return m, nil
		},
	}, nil
}

// fleetSection is the "fleet" section as written in the configuration file.
type fleetSection struct {
	Name      string   `json:"name"`
	Bind      string   `json:"bind"`
	Advertise string   `json:"advertise"`
	Label     string   `json:"label"`
	Seeds     []string `json:"seeds"`
	Damping   *bool    `json:"damping"` // flap damping; enabled unless false
	Tuning    *bool    `json:"tuning"`  // weight tuning; enabled unless false
}

// disabled reports whether a feature is disabled by its setting; nil means that it is not set.
func disabled(enabled *bool) bool { return enabled != nil && !*enabled }

// parseSection parses the section, and checks the part of a transport.Config that comes from it.
func parseSection(text json.RawMessage, proxyName string) (
	cfg *transport.Config, parsed fleetSection, err error) {
	if err := json.Unmarshal(text, &parsed); err != nil {
		return nil, parsed, err
	}
	cfg = &transport.Config{Name: cmp.Or(parsed.Name, proxyName), Bind: cmp.Or(parsed.Bind, defaultBind),
		Advertise: parsed.Advertise, Label: parsed.Label, Seeds: parsed.Seeds}
	err = cfg.Check()
	var invalid *transport.ConfigError
	if errors.As(err, &invalid) {
		return nil, parsed, &config.Error{Key: "fleet." + invalid.Key, Problem: invalid.Problem, Remedy: invalid.Remedy}
	}
	return cfg, parsed, err
}
