package fleet

import (
	"cmp"
	"encoding/json"
	"errors"

	"fernlanding/internal/config"
	"fernlanding/internal/fleet/link"
	"fernlanding/internal/proxy"
)

const defaultBind = "127.0.0.1:7946" // memberlist's port

// Read is a config.FleetReader.
func Read(section json.RawMessage, name string) (*proxy.FleetPlan, error) {
	c, err := read(section, name)
	if err != nil {
		return nil, err
	}
	return &proxy.FleetPlan{Descriptors: link.Descriptors, Open: func(self proxy.FleetSelf) (proxy.Fleet, error) {
		f, err := open(*c, self)
		if err != nil {
			return nil, err
		}
		return f, nil
	}}, nil
}

// read gives what of a link's configuration is the section's.
func read(section json.RawMessage, name string) (*link.Config, error) {
	var f struct {
		Name      string   `json:"name"`
		Bind      string   `json:"bind"`
		Advertise string   `json:"advertise"`
		Label     string   `json:"label"`
		Seeds     []string `json:"seeds"`
	}
	if err := json.Unmarshal(section, &f); err != nil {
		return nil, err
	}
	c := &link.Config{Name: cmp.Or(f.Name, name), Bind: cmp.Or(f.Bind, defaultBind), Advertise: f.Advertise, Label: f.Label,
		Seeds: f.Seeds}
	err := c.Check()
	var fault *link.ConfigError
	if errors.As(err, &fault) {
		return nil, &config.ConfigError{Key: "fleet." + fault.Key, Problem: fault.Cause, Remedy: fault.Remedy}
	}
	if err != nil {
		return nil, err
	}
	return c, nil
}
