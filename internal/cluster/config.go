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

// ReadConfig reads the configuration's section "fleet"; proxyName is the member's name if the section has none. It is a
// config.ClusterReader. The error is a *config.ConfigError, or one of package json.
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
				return nil, err // not a *member that is nil
			}
			return m, nil
		},
	}, nil
}

// fleetSection is the fleetSection as it stands in the file.
type fleetSection struct {
	Name      string   `json:"name"`
	Bind      string   `json:"bind"`
	Advertise string   `json:"advertise"`
	Label     string   `json:"label"`
	Seeds     []string `json:"seeds"`
	Damping   *bool    `json:"damping"` // on unless it is false
	Tuning    *bool    `json:"tuning"`
}

func disabled(enabled *bool) bool { return enabled != nil && !*enabled }

// parseSection parses the section and checks what it gives of a transport.Config.
func parseSection(text json.RawMessage, proxyName string) (cfg *transport.Config, parsed fleetSection, err error) {
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
