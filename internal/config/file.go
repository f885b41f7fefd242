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
	defaultDescriptors = 1024 // the system's usual limit of a process
	maxNameBytes       = 100  // of a proxy's name at the registry
)

// file is the configuration file. The field names are the program's terms; the tags are the keys, which keep older names.
type file struct {
	// ProxyName identifies the proxy to the registry and the cluster, unless LB_NAME does.
	ProxyName string `json:"name"`
	// Listen is the address for clients; LB_LISTEN if it is missing.
	Listen string `json:"listen"`
	// PlatformAddress is that of the platform's discovery; LB_DISCOVERY if it is missing.
	PlatformAddress string `json:"discovery"`
	// RegistryMembers are the registry's addresses, which replace PlatformAddress.
	RegistryMembers []string `json:"discovery_members"`
	// CacheDir is the directory of the cached endpoint list and configuration, with RegistryMembers. Empty: no cache.
	CacheDir string `json:"discovery_state"`
	// Service is whose configuration the proxy follows at the registry (docs/rollout.md). Empty: none.
	Service string `json:"config_service"`
	// ManagementAddress is that of the management API; LB_MGMT if it is missing. Empty: none.
	ManagementAddress string `json:"mgmt"`
	// Seed is that of all random choices, 1 to 16 hexadecimal digits.
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
	// Cluster is decoded by the ClusterReader. null: the proxy is on its own.
	Cluster json.RawMessage `json:"fleet"`
}

// isGiven reports whether there is a section; null is none.
func isGiven(section json.RawMessage) bool { return len(section) > 0 && string(section) != "null" }

// parse decodes and checks the text of a configuration. Its errors are an *Error without a File.
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
	// The temporary directory may be shared with other proxies: the address makes the name unique. The prefix must stay: a
	// successor finds its predecessor by this path.
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
	if isGiven(f.InitialList) {
		if p.InitialList, err = discovery.Parse(f.InitialList); err != nil {
			return nil, decodeError("known", err)
		}
	}
	if isGiven(f.Cluster) {
		if p.Cluster, err = c.clusterPlan(f.Cluster); err != nil {
			return nil, err
		}
		p.Site.Balancer.DisableFlapDamping = p.Cluster.DisableFlapDamping
		p.Site.Balancer.DisableWeightTuning = p.Cluster.DisableWeightTuning
	}
	return c, nil
}

// addEnvironment adds what environment variables give. LB_NAME takes precedence over the file, the others do not.
func (f *file) addEnvironment(env func(string) string) {
	f.ManagementAddress = cmp.Or(f.ManagementAddress, env("LB_MGMT"))
	f.Listen = cmp.Or(f.Listen, env("LB_LISTEN"))
	f.PlatformAddress = cmp.Or(f.PlatformAddress, env("LB_DISCOVERY"))
	f.ProxyName = cmp.Or(env("LB_NAME"), f.ProxyName)
}

// checkAddresses returns an *Error about where clients connect or where the endpoint list comes from.
func (f *file) checkAddresses() error {
	if f.Listen == "" {
		return &Error{Key: "listen", Problem: "is missing", Remedy: "give HOST:PORT there or in LB_LISTEN"}
	}
	if f.PlatformAddress == "" && len(f.RegistryMembers) == 0 {
		return &Error{Key: "discovery", Problem: "is missing",
			Remedy: "give HOST:PORT there or in LB_DISCOVERY, or discovery_members"}
	}
	for i, member := range f.RegistryMembers {
		if _, _, err := net.SplitHostPort(member); err != nil {
			return &Error{Key: fmt.Sprintf("discovery_members[%d]", i), Problem: err.Error(), Remedy: "give HOST:PORT"}
		}
	}
	if f.CacheDir != "" && len(f.RegistryMembers) == 0 {
		return &Error{Key: "discovery_state", Problem: "needs discovery_members; the platform's list is not kept",
			Remedy: "give the members, or leave it out"}
	}
	return nil
}

// checkService returns an *Error if a service is to be followed and something for it is missing.
func (f *file) checkService() error {
	if f.Service == "" {
		return nil
	}
	if err := settings.CheckService(f.Service); err != nil {
		return &Error{Key: "config_service", Problem: err.Error(), Remedy: "give the service's name, or leave it out"}
	}
	if len(f.RegistryMembers) == 0 {
		return &Error{Key: "config_service", Problem: "needs discovery_members; the platform's list has no configurations",
			Remedy: "give the members, or leave it out"}
	}
	if f.ProxyName == "" {
		return &Error{Key: "name", Problem: "is missing, and config_service needs it to tell proxies apart",
			Remedy: "give one there or in LB_NAME"}
	}
	if len(f.ProxyName) > maxNameBytes {
		return &Error{Key: "name", Problem: fmt.Sprintf("has %d bytes, and config_service allows %d", len(f.ProxyName), maxNameBytes),
			Remedy: "give a shorter one there or in LB_NAME"}
	}
	return nil
}

// checkLimits returns an *Error about a negative limit.
func (f *file) checkLimits() error {
	for _, limit := range []struct {
		key   string
		value float64
	}{{"cores", f.Limits.Cores}, {"memory_mb", f.Limits.MemoryMB}, {"sockets", float64(f.Limits.Descriptors)}} {
		if limit.value < 0 {
			return &Error{Key: "limits." + limit.key, Problem: "negative", Remedy: "give a limit, or leave it out"}
		}
	}
	return nil
}

// decodeSettings decodes the section settings. Its errors are an *Error.
func decodeSettings(section json.RawMessage) (*settings.Site, error) {
	if !isGiven(section) {
		return nil, &Error{Key: "settings", Problem: "is missing", Remedy: "give the rules of the tier"}
	}
	site, err := settings.Read(section)
	if err != nil {
		return nil, decodeError("settings", err)
	}
	return site, nil
}

// clusterPlan decodes the section fleet. Its errors are an *Error.
func (c *Config) clusterPlan(section json.RawMessage) (*proxy.ClusterPlan, error) {
	if c.cluster == nil {
		return nil, &Error{Key: "fleet", Problem: "this program is built without it",
			Remedy: "run bin/merlinpick-cluster-proxy, or leave the section out"}
	}
	plan, err := c.cluster(section, c.ProxyName)
	var fault *Error
	if err != nil && !errors.As(err, &fault) {
		err = decodeError("fleet", err)
	}
	return plan, err
}
