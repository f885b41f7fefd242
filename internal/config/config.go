// Package config reads and validates the proxy's configuration from a JSON file and environment variables.
// Each problem is reported as an *Error. Unknown keys are ignored. It neither changes the file nor applies
// the configuration.
package config

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"

	"merlinpick/internal/proxy"
	"merlinpick/internal/settings"
)

// Config is a valid configuration of a proxy process.
type Config struct {
	Proxy             proxy.Config // Logger, MemoryBytes and SetHeapLimit are not set
	ManagementAddress string       // HOST:PORT of the management API; empty: none
	Cores             float64      // CPU limit in cores; 0: not given
	MemoryMB          float64      // memory limit in MB; 0: not given
	Service           string       // service whose configuration the proxy follows; empty: none
	ProxyName         string       // name under which the proxy reports to the registry

	text    []byte        // JSON text of this configuration
	cluster ClusterReader // decodes the section fleet, also on a reload; may be nil
}

// ClusterReader decodes the section fleet, which configures the cluster. name is the proxy's name, which is
// used if the section gives none. Errors are of type *Error or come from encoding/json.
type ClusterReader func(section json.RawMessage, name string) (*proxy.ClusterPlan, error)

// Load reads the file that the environment variable LB_CONFIG names. LB_LISTEN, LB_DISCOVERY and LB_MGMT are
// used where the file has no value; LB_NAME takes precedence over the name in the file. If cluster is nil, a
// section fleet is an error. Errors are of type *Error.
func Load(env func(string) string, cluster ClusterReader) (*Config, error) {
	path := env("LB_CONFIG")
	if path == "" {
		return nil, &Error{Key: "LB_CONFIG", Problem: "is not set",
			Remedy: "set it to the path of the configuration file"}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		var pathErr *fs.PathError
		if errors.As(err, &pathErr) { // the text of the whole error would repeat the path
			err = pathErr.Err
		}
		return nil, &Error{File: path, Problem: err.Error(),
			Remedy: "set LB_CONFIG to the path of a readable file"}
	}
	c, err := parse(text, env, cluster)
	var configErr *Error
	if errors.As(err, &configErr) {
		configErr.File = path
	}
	return c, err
}

// Reload is like Load for a configuration that replaces a previous one. A key that the previous configuration
// has and the new one lacks is an error as well, since a truncated file may still be valid JSON.
func Reload(env func(string) string, previous *Config) (*Config, error) {
	c, err := Load(env, previous.cluster)
	if err != nil {
		return nil, err
	}
	if missing := c.MissingKey(previous); missing != nil {
		missing.File = env("LB_CONFIG")
		return nil, missing
	}
	return c, nil
}

// MissingKey returns an *Error about the first key that a previous configuration has and this one lacks, or
// nil if there is none.
func (c *Config) MissingKey(previous *Config) *Error { return missingKey(previous.text, c.text) }

// WithDocument returns this configuration with its settings replaced by those of a document of its service. A
// nil document returns the configuration unchanged. Errors are of type *Error.
func (c *Config) WithDocument(document []byte, env func(string) string) (*Config, error) {
	if document == nil {
		return c, nil
	}
	var sections map[string]json.RawMessage
	if err := json.Unmarshal(c.text, &sections); err != nil {
		return nil, decodeError("", err)
	}
	merged, err := settings.MergeDocument(sections["settings"], document)
	if err != nil {
		return nil, decodeError("", err)
	}
	sections["settings"] = merged
	text, err := json.Marshal(sections)
	if err != nil {
		return nil, decodeError("", err)
	}
	return parse(text, env, c.cluster)
}
