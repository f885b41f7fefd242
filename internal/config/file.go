package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"strconv"

	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy"
	"merlinpick/internal/settings"
)

const (
	defaultDescriptors = 1024 // the usual limit of open files of a process
	maxNameBytes       = 100  // maximum length of a proxy's name at the registry
)

// file is the encoded form of the configuration file. The keys in the tags keep older names, so that existing
// files stay valid.
type file struct {
	// ProxyName identifies the proxy to the registry and the cluster. LB_NAME takes precedence.
	ProxyName string `json:"name"`
	// Listen is the HOST:PORT on which clients connect. If it is missing, LB_LISTEN is used.
	Listen string `json:"listen"`
	// PlatformAddress is the address of the platform's discovery service. If it is missing, LB_DISCOVERY is
	// used.
	PlatformAddress string `json:"discovery"`
	// RegistryMembers are the addresses of the registry members. They are used instead of PlatformAddress.
	RegistryMembers []string `json:"discovery_members"`
	// CacheDir is the directory in which the endpoint list and the configuration of the registry are cached.
	// It requires RegistryMembers. Empty: no cache.
	CacheDir string `json:"discovery_state"`
	// Service is the service whose configuration the proxy follows at the registry (docs/rollout.md). Empty:
	// none.
	Service string `json:"config_service"`
	// ManagementAddress is the address of the management API. If it is missing, LB_MGMT is used. Empty: no
	// API.
	ManagementAddress string `json:"mgmt"`
	// Seed is the seed of all random choices, 1 to 16 hexadecimal digits.
	Seed   string `json:"seed"`
	Limits struct {
		// Cores is the CPU limit in cores. 0: not known.
		Cores float64 `json:"cores"`
		// MemoryMB is the memory limit in MB. 0: not known.
		MemoryMB float64 `json:"memory_mb"`
		// Descriptors is the limit of open files. 0: defaultDescriptors.
		Descriptors int `json:"sockets"`
	} `json:"limits"`
	// InitialList is the endpoint list to start with. null: none.
	InitialList json.RawMessage `json:"known"`
	// Settings are those of package settings.
	Settings json.RawMessage `json:"settings"`
	// Cluster configures the cluster; a ClusterReader decodes it. null: the proxy is in no cluster.
	Cluster json.RawMessage `json:"fleet"`
}

// isPresent reports whether a section is present and not null.
func isPresent(section json.RawMessage) bool { return len(section) > 0 && string(section) != "null" }

// parse decodes and checks the text of a configuration. Errors are of type *Error with an empty File.
func parse(text []byte, env func(string) string, cluster ClusterReader) (*Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, decodeError("", err)
	}
	f.addEnvironment(env)
	c := &Config{ManagementAddress: f.ManagementAddress, Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB,
		Service: f.Service, ProxyName: f.ProxyName, text: text, cluster: cluster}
	p := &c.Proxy
	p.Listen = f.Listen
	p.Discovery = discovery.Source{Address: f.PlatformAddress, Members: f.RegistryMembers}
	p.ListCacheDir, p.Managed = f.CacheDir, c.ManagementAddress != ""
	// Other proxies may share the temporary directory, so the name has to contain the address. The prefix
	// must not change: during an upgrade the new process finds the old one by this path, and the two may be
	// different builds.
	p.StateDir = filepath.Join(cmp.Or(env("TMPDIR"), os.TempDir()), "fernlanding-"+url.PathEscape(p.Listen))
	p.MaxDescriptors = cmp.Or(f.Limits.Descriptors, defaultDescriptors)
	if err := f.checkAddresses(); err != nil {
		return nil, err
	}
	if err := f.checkService(); err != nil {
		return nil, err
	}
	var err error
	if p.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, &Error{Key: "seed", Problem: err.Error(), Remedy: "give 1 to 16 hexadecimal digits"}
	}
	if err := f.checkLimits(); err != nil {
		return nil, err
	}
	if p.Site, err = decodeSettings(f.Settings); err != nil {
		return nil, err
	}
	if isPresent(f.InitialList) {
		if p.InitialList, err = discovery.Parse(f.InitialList); err != nil {
			return nil, decodeError("known", err)
		}
	}
	if isPresent(f.Cluster) {
		if p.Cluster, err = c.clusterPlan(f.Cluster); err != nil {
			return nil, err
		}
		p.Site.Balancer.DisableFlapDamping = p.Cluster.DisableFlapDamping
		p.Site.Balancer.DisableWeightTuning = p.Cluster.DisableWeightTuning
	}
	return c, nil
}

// addEnvironment adds the values of environment variables. LB_NAME takes precedence over the file; the other
// variables are used only where the file has no value.
func (f *file) addEnvironment(env func(string) string) {
	f.ManagementAddress = cmp.Or(f.ManagementAddress, env("LB_MGMT"))
	f.Listen = cmp.Or(f.Listen, env("LB_LISTEN"))
	f.PlatformAddress = cmp.Or(f.PlatformAddress, env("LB_DISCOVERY"))
	f.ProxyName = cmp.Or(env("LB_NAME"), f.ProxyName)
}

// checkAddresses returns an *Error if the clients' address or the source of the endpoint list is missing or
// invalid.
func (f *file) checkAddresses() error {
	if f.Listen == "" {
		return &Error{Key: "listen", Problem: "is missing", Remedy: "set it or LB_LISTEN to HOST:PORT"}
	}
	if f.PlatformAddress == "" && len(f.RegistryMembers) == 0 {
		return &Error{Key: "discovery", Problem: "is missing",
			Remedy: "set it or LB_DISCOVERY to HOST:PORT, or set discovery_members"}
	}
	for i, member := range f.RegistryMembers {
		if _, _, err := net.SplitHostPort(member); err != nil {
			return &Error{Key: fmt.Sprintf("discovery_members[%d]", i), Problem: err.Error(),
				Remedy: "set it to HOST:PORT"}
		}
	}
	if f.CacheDir != "" && len(f.RegistryMembers) == 0 {
		return &Error{Key: "discovery_state",
			Problem: "needs discovery_members; the platform's list is not cached",
			Remedy:  "set discovery_members, or remove this key"}
	}
	return nil
}

// checkService returns an *Error if the proxy is to follow a service's configuration and a setting for that
// is missing or invalid.
func (f *file) checkService() error {
	if f.Service == "" {
		return nil
	}
	if err := settings.CheckService(f.Service); err != nil {
		return &Error{Key: "config_service", Problem: err.Error(),
			Remedy: "set it to the service's name, or remove it"}
	}
	if len(f.RegistryMembers) == 0 {
		return &Error{Key: "config_service",
			Problem: "needs discovery_members; the platform's discovery has no configurations",
			Remedy:  "set discovery_members, or remove this key"}
	}
	if f.ProxyName == "" {
		return &Error{Key: "name", Problem: "is missing, and config_service needs it to tell proxies apart",
			Remedy: "set it or LB_NAME"}
	}
	if len(f.ProxyName) > maxNameBytes {
		return &Error{Key: "name",
			Problem: fmt.Sprintf("has %d bytes; with config_service the limit is %d",
				len(f.ProxyName), maxNameBytes),
			Remedy: "set it or LB_NAME to a shorter name"}
	}
	return nil
}

// checkLimits returns an *Error if a limit is negative.
func (f *file) checkLimits() error {
	for _, limit := range []struct {
		key   string
		value float64
	}{{"cores", f.Limits.Cores}, {"memory_mb", f.Limits.MemoryMB}, {"sockets", float64(f.Limits.Descriptors)}} {
		if limit.value < 0 {
			return &Error{Key: "limits." + limit.key, Problem: "negative",
				Remedy: "set it to a positive number, or remove it"}
		}
	}
	return nil
}

// decodeSettings decodes the section settings. Errors are of type *Error.
func decodeSettings(section json.RawMessage) (*settings.Site, error) {
	if !isPresent(section) {
		return nil, &Error{Key: "settings", Problem: "is missing",
			Remedy: "add the settings of the tier"}
	}
	site, err := settings.Read(section)
	if err != nil {
		return nil, decodeError("settings", err)
	}
	return site, nil
}

// clusterPlan decodes the section fleet. Errors are of type *Error.
func (c *Config) clusterPlan(section json.RawMessage) (*proxy.ClusterPlan, error) {
	if c.cluster == nil {
		return nil, &Error{Key: "fleet", Problem: "this program is built without cluster support",
			Remedy: "run bin/merlinpick-cluster-proxy, or remove the section"}
	}
	plan, err := c.cluster(section, c.ProxyName)
	var configErr *Error
	if err != nil && !errors.As(err, &configErr) {
		err = decodeError("fleet", err)
	}
	return plan, err
}
