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

// Read is a config.FleetReader.
func ReadConfig(section json.RawMessage, name string) (*proxy.ClusterPlan, error) {
	c, f, err := read(section, name)
	if err != nil {
		return nil, err
	}
	off := func(part *bool) bool { return part != nil && !*part }
	return &proxy.ClusterPlan{Descriptors: transport.MaxDescriptors, DisableFlapDamping: off(f.Damping), DisableWeightTuning: off(f.Tuning), Open: func(self proxy.ClusterIdentity) (proxy.Cluster, error) {
		f, err := open(*c, self)
		if err != nil {
			return nil, err
		}
		return f, nil
	}}, nil
}

// object is the section as it stands in the file.
type section struct {
	Name      string   `json:"name"`
	Bind      string   `json:"bind"`
	Advertise string   `json:"advertise"`
	Label     string   `json:"label"`
	Seeds     []string `json:"seeds"`
	Damping   *bool    `json:"damping"` // on unless it says false
	Tuning    *bool    `json:"tuning"`
}

// read gives the section, and what of a link's configuration is its.
func read(section json.RawMessage, name string) (c *transport.Config, f section, err error) {
	if err := json.Unmarshal(section, &f); err != nil {
		return nil, f, err
	}
	c = &transport.Config{Name: cmp.Or(f.Name, name), Bind: cmp.Or(f.Bind, defaultBind), Advertise: f.Advertise, Label: f.Label,
		Seeds: f.Seeds}
	err = c.Check()
	var fault *transport.ConfigError
	if errors.As(err, &fault) {
		return nil, f, &config.ConfigError{Key: "fleet." + fault.Key, Problem: fault.Problem, Remedy: fault.Remedy}
	}
	return c, f, err
}
