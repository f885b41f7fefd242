// Package config reads the proxy's configuration: a JSON file, with words of the environment for what it lacks. Each
// fault is a *ConfigError. Keys that it does not know are ignored.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"strconv"

	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy"
	"merlinpick/internal/settings"
)

// defaultSockets is what a proxy may hold where limits.sockets does not tell: the system's usual bound for a process
// that asked for no more.
const defaultDescriptors = 1024

// nameMost bounds a proxy's name at the list service, in bytes.
const maxNameBytes = 100

// Config is what the file says.
type Config struct {
	Proxy             proxy.Config // without Log, Memory and Hold
	ManagementAddress string       // the management address; empty: none
	Cores             float64      // 0: not told
	MemoryMB          float64      // likewise
	Service           string       // whose configuration is followed at the list service; empty: none
	ProxyName         string       // of this proxy there

	text  []byte // of the whole file
	fleet ClusterReader
}

// file is the configuration as it stands on disk.
type file struct {
	Name      string   `json:"name"`
	Listen    string   `json:"listen"`
	Discovery string   `json:"discovery"`
	Members   []string `json:"discovery_members"` // of the project's list service, in place of discovery
	StateDir  string   `json:"discovery_state"`   // folder of the last list; with members
	Service   string   `json:"config_service"`    // whose configuration the members tell; see docs/rollout.md
	Mgmt      string   `json:"mgmt"`
	Seed      string   `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
	Fleet    json.RawMessage `json:"fleet"`
}

// given tells whether there is a section; null is none.
func isGiven(section json.RawMessage) bool { return len(section) > 0 && string(section) != "null" }

// FleetReader reads the section fleet; name is the proxy's where the section gives none. Its errors are a *ConfigError,
// or what encoding/json says of the section.
type ClusterReader func(section json.RawMessage, name string) (*proxy.ClusterPlan, error)

// Load reads the file that LB_CONFIG names; LB_LISTEN, LB_DISCOVERY and LB_MGMT stand in for what it lacks. A nil fleet
// is that of a program without fleets: a section fleet is a fault.
func Load(env func(string) string, fleet ClusterReader) (*Config, error) {
	path := env("LB_CONFIG")
	if path == "" {
		return nil, &ConfigError{Key: "LB_CONFIG", Problem: "is not set", Remedy: "have it name the configuration file"}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		var at *fs.PathError
		if errors.As(err, &at) { // which names the file once more
			err = at.Err
		}
		return nil, &ConfigError{File: path, Problem: err.Error(), Remedy: "have LB_CONFIG name a file that can be read"}
	}
	c, err := parse(text, env, fleet)
	var fault *ConfigError
	if errors.As(err, &fault) {
		fault.File = path
	}
	return c, err
}

// Reload is Load for a configuration that takes the place of another. To lack a key that the former has is a fault
// too, since a file cut short may make sense.
func Reload(env func(string) string, former *Config) (*Config, error) {
	c, err := Load(env, former.fleet)
	if err != nil {
		return nil, err
	}
	if fault := c.MissingKey(former); fault != nil {
		fault.File = env("LB_CONFIG")
		return nil, fault
	}
	return c, nil
}

// Lacks tells of a key that a former configuration has and this one lacks; nil: of none.
func (c *Config) MissingKey(former *Config) *ConfigError { return missingKey(former.text, c.text) }

// Above is this configuration with a document of its service above its settings; no document: as it is. Its errors are
// each a *ConfigError.
func (c *Config) WithDocument(document []byte, env func(string) string) (*Config, error) {
	if document == nil {
		return c, nil
	}
	var f map[string]json.RawMessage
	if err := json.Unmarshal(c.text, &f); err != nil {
		return nil, decodeError("", err)
	}
	rules, err := settings.MergeDocument(f["settings"], document)
	if err != nil {
		return nil, decodeError("", err)
	}
	f["settings"] = rules
	text, err := json.Marshal(f)
	if err != nil {
		return nil, decodeError("", err)
	}
	return parse(text, env, c.fleet)
}

// parse reads a configuration's text; its errors name no file yet.
func parse(text []byte, env func(string) string, fleet ClusterReader) (*Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, decodeError("", err)
	}
	c := &Config{ManagementAddress: cmp.Or(f.Mgmt, env("LB_MGMT")), Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, text: text, fleet: fleet}
	p := &c.Proxy
	p.Listen = cmp.Or(f.Listen, env("LB_LISTEN"))
	p.Discovery = discovery.Source{Address: cmp.Or(f.Discovery, env("LB_DISCOVERY")), Members: f.Members}
	p.ListCacheDir, p.Managed = f.StateDir, c.ManagementAddress != ""
	// Where the folder is not the proxy's own, as it is on the platform, its address tells it from others.
	p.StateDir = filepath.Join(cmp.Or(env("TMPDIR"), os.TempDir()), "fernlanding-"+url.PathEscape(p.Listen))
	p.MaxDescriptors = cmp.Or(f.Limits.Sockets, defaultDescriptors)
	if err := f.addresses(p); err != nil {
		return nil, err
	}
	if c.Service, c.ProxyName = f.Service, cmp.Or(env("LB_NAME"), f.Name); f.Service != "" {
		if err := f.service(c.ProxyName); err != nil {
			return nil, err
		}
	}
	var err error
	if p.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, &ConfigError{Key: "seed", Problem: err.Error(), Remedy: "give 1 to 16 hexadecimal digits"}
	}
	for _, l := range []struct {
		key string
		n   float64
	}{{"cores", c.Cores}, {"memory_mb", c.MemoryMB}, {"sockets", float64(f.Limits.Sockets)}} {
		if l.n < 0 {
			return nil, &ConfigError{Key: "limits." + l.key, Problem: "negative", Remedy: "give a limit, or leave it out"}
		}
	}
	if p.Site, err = decodeSettings(f.Settings); err != nil {
		return nil, err
	}
	if isGiven(f.Known) {
		if p.InitialList, err = discovery.Parse(f.Known); err != nil {
			return nil, decodeError("known", err)
		}
	}
	if isGiven(f.Fleet) {
		if p.Cluster, err = c.plan(f.Fleet, cmp.Or(env("LB_NAME"), f.Name)); err != nil {
			return nil, err
		}
		p.Site.Balancer.DisableFlapDamping, p.Site.Balancer.DisableWeightTuning = p.Cluster.DisableFlapDamping, p.Cluster.DisableWeightTuning
	}
	return c, nil
}

// plan reads the section fleet.
func (c *Config) plan(section json.RawMessage, name string) (*proxy.ClusterPlan, error) {
	if c.fleet == nil {
		return nil, &ConfigError{Key: "fleet", Problem: "this program is built without it",
			Remedy: "run bin/merlinpick-cluster-proxy, or leave the section out"}
	}
	plan, err := c.fleet(section, name)
	var fault *ConfigError
	if err != nil && !errors.As(err, &fault) {
		err = decodeError("fleet", err)
	}
	return plan, err
}

// addresses checks where clients connect and where the list comes from.
func (f *file) addresses(p *proxy.Config) error {
	if p.Listen == "" {
		return &ConfigError{Key: "listen", Problem: "is missing", Remedy: "give HOST:PORT there or in LB_LISTEN"}
	}
	if p.Discovery.Address == "" && len(f.Members) == 0 {
		return &ConfigError{Key: "discovery", Problem: "is missing",
			Remedy: "give HOST:PORT there or in LB_DISCOVERY, or discovery_members"}
	}
	for i, m := range f.Members {
		if _, _, err := net.SplitHostPort(m); err != nil {
			return &ConfigError{Key: fmt.Sprintf("discovery_members[%d]", i), Problem: err.Error(), Remedy: "give HOST:PORT"}
		}
	}
	if f.StateDir != "" && len(f.Members) == 0 {
		return &ConfigError{Key: "discovery_state", Problem: "needs discovery_members; the platform's list is not kept",
			Remedy: "give the members, or leave it out"}
	}
	return nil
}

// service checks what is needed to follow a configuration.
func (f *file) service(name string) error {
	if err := settings.CheckService(f.Service); err != nil {
		return &ConfigError{Key: "config_service", Problem: err.Error(), Remedy: "give the service's name, or leave it out"}
	}
	if len(f.Members) == 0 {
		return &ConfigError{Key: "config_service", Problem: "needs discovery_members; the platform's list has no configurations",
			Remedy: "give the members, or leave it out"}
	}
	if name == "" {
		return &ConfigError{Key: "name", Problem: "is missing, and config_service needs it to tell proxies apart",
			Remedy: "give one there or in LB_NAME"}
	}
	if len(name) > maxNameBytes {
		return &ConfigError{Key: "name", Problem: fmt.Sprintf("has %d bytes, and config_service allows %d", len(name), maxNameBytes),
			Remedy: "give a shorter one there or in LB_NAME"}
	}
	return nil
}

// site reads the section settings.
func decodeSettings(section json.RawMessage) (*settings.Site, error) {
	if !isGiven(section) {
		return nil, &ConfigError{Key: "settings", Problem: "is missing", Remedy: "give the rules of the tier"}
	}
	s, err := settings.Read(section)
	if err != nil {
		return nil, decodeError("settings", err)
	}
	return s, nil
}
