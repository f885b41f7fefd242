// Package config reads the proxy's configuration: a JSON file, and environment variables. Each fault is an
// *Error. Keys that it does not know are ignored. It never changes the file, and applies nothing.
package config

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"

	"merlinpick/internal/proxy"
	"merlinpick/internal/settings"
)

// Config is a valid configuration.
type Config struct {
	Proxy             proxy.Config // without Logger, BodyMemory and OnMemoryShare
	ManagementAddress string       // HOST:PORT; empty: none
	Cores             float64      // CPU limit in cores; 0: not given
	MemoryMB          float64      // memory limit in MB; 0: not given
	Service           string       // whose configuration the proxy follows at the registry; empty: none
	ProxyName         string       // under which it reports there

	text    []byte // of the whole file
	cluster ClusterReader
}

// ClusterReader decodes the section fleet; name is the proxy's where the section gives none. Its errors are an *Error, or
// those of encoding/json.
type ClusterReader func(section json.RawMessage, name string) (*proxy.ClusterPlan, error)

// Load reads the file that the variable LB_CONFIG names. LB_LISTEN, LB_DISCOVERY and LB_MGMT are used where the file has
// no value; LB_NAME takes precedence over the file's name. Without a cluster reader a section fleet is a fault. Its errors are an *Error.
func Load(env func(string) string, cluster ClusterReader) (*Config, error) {
	path := env("LB_CONFIG")
	if path == "" {
		return nil, &Error{Key: "LB_CONFIG", Problem: "is not set", Remedy: "have it name the configuration file"}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		var pathErr *fs.PathError
		if errors.As(err, &pathErr) { // its text would name the file again
			err = pathErr.Err
		}
		return nil, &Error{File: path, Problem: err.Error(), Remedy: "have LB_CONFIG name a file that can be read"}
	}
	c, err := parse(text, env, cluster)
	var fault *Error
	if errors.As(err, &fault) {
		fault.File = path
	}
	return c, err
}

// Reload is Load for a configuration that replaces a previous one. A key that only the previous one has is a fault too,
// since a truncated file may still be valid.
func Reload(env func(string) string, previous *Config) (*Config, error) {
	c, err := Load(env, previous.cluster)
	if err != nil {
		return nil, err
	}
	if fault := c.MissingKey(previous); fault != nil {
		fault.File = env("LB_CONFIG")
		return nil, fault
	}
	return c, nil
}

// MissingKey returns an *Error about the first key that a previous configuration has and this one lacks; nil if there is
// none.
func (c *Config) MissingKey(previous *Config) *Error { return missingKey(previous.text, c.text) }

// WithDocument returns this configuration with the settings of a document of its service; without a document, this one. Its
// errors are an *Error.
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
