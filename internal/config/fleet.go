package config

import (
	"cmp"
	"encoding/json"
	"errors"

	"fernlanding/internal/fleet/link"
)

const fleetBind = "127.0.0.1:7946" // memberlist's port

// fleet reads the section fleet; name is the proxy's where the section gives none.
func fleet(section json.RawMessage, name string) (*link.Config, error) {
	var f struct {
		Name      string   `json:"name"`
		Bind      string   `json:"bind"`
		Advertise string   `json:"advertise"`
		Label     string   `json:"label"`
		Seeds     []string `json:"seeds"`
	}
	if err := json.Unmarshal(section, &f); err != nil {
		return nil, unreadable("fleet", err)
	}
	c := &link.Config{Name: cmp.Or(f.Name, name), Bind: cmp.Or(f.Bind, fleetBind), Advertise: f.Advertise, Label: f.Label,
		Seeds: f.Seeds}
	err := c.Check()
	var fault *link.ConfigError
	if errors.As(err, &fault) {
		return nil, &ConfigError{Key: under("fleet", fault.Key), Problem: fault.Cause, Remedy: fault.Remedy}
	}
	return c, err
}
