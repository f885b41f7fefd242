// Package config is the configuration of a member of the registry, a TOML file. It maps the file's keys to the terms of the
// code, and applies a file in full or not at all.
package config

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/BurntSushi/toml"

	"merlinpick/internal/registry/lease"
	"merlinpick/internal/registry/raftnode"
)

// File is a configuration as it is written. Durations are in ms.
type File struct {
	Name              string   `toml:"name"`
	Dir               string   `toml:"dir"`         // of the log and snapshots
	Listen            string   `toml:"listen"`      // address of the API
	MetricsAddress    string   `toml:"figures"`     // of metrics and readiness; empty: none
	RaftListen        string   `toml:"raft_listen"` // for raft's traffic; empty: the member's own Raft address
	ElectionTimeoutMs int      `toml:"election_ms"` // without a heartbeat from the leader
	MaxListAgeMs      int      `toml:"stale_ms"`    // an older list is not served
	MaxWatches        int      `toml:"watchers"`    // in flight at once
	Lease             Lease    `toml:"lease"`
	Members           []Member `toml:"member"` // all, with this one; none: a cluster of one
}

// Lease configures the lease table; lease.Config has the meaning.
type Lease struct {
	HoldThreshold float64 `toml:"part"`
	ReleaseRate   float64 `toml:"pace"`
}

// Member is a member of the cluster and its addresses, HOST:PORT.
type Member struct {
	Name string `toml:"name"`
	Raft string `toml:"raft"`
	List string `toml:"list"` // of the API
}

// Error is a fault of a file.
type Error struct {
	File    string
	Key     string
	Problem string // with what is needed
}

// Error names file, key and problem.
func (e *Error) Error() string { return e.File + ": " + e.Key + ": " + e.Problem }

// SyntaxError is a file that is no TOML.
type SyntaxError struct {
	File    string
	Line    int // from 1
	Problem string
}

// Error names file, line and problem.
func (e *SyntaxError) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Problem) }

// Default returns the configuration of a cluster of one on the loopback address.
func Default() File {
	l := lease.DefaultConfig()
	return File{Name: "roster", Dir: "roster-data", Listen: "127.0.0.1:8500", MetricsAddress: "127.0.0.1:9500",
		ElectionTimeoutMs: 500, MaxListAgeMs: 2000, MaxWatches: 6000, Lease: Lease{l.HoldThreshold, l.ReleaseRate}}
}

// Read reads a file; an empty path is Default. A relative Dir is taken from the file's directory. The error is a
// *SyntaxError or joins one *Error for each fault.
func Read(path string) (File, error) {
	f := Default()
	if path == "" {
		return f, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return f, err
	}
	f, err = Parse(path, string(text))
	if !filepath.IsAbs(f.Dir) {
		f.Dir = filepath.Join(filepath.Dir(path), f.Dir)
	}
	return f, err
}

// Parse reads a file's text; name is the file's name in errors, which are those of Read.
func Parse(name, text string) (File, error) {
	f := Default()
	meta, err := toml.Decode(text, &f)
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		return f, &SyntaxError{name, syntax.Position.Line, cmp.Or(syntax.Message, syntax.Error())}
	}
	if err != nil {
		return f, fmt.Errorf("%s: %w", name, err)
	}
	check := checker{file: name}
	for _, key := range meta.Undecoded() {
		check.report(key.String(), "unknown key; docs/discovery.md has them all")
	}
	check.addresses(&f)
	check.limits(&f)
	check.members(&f)
	return f, errors.Join(check.errs...)
}

const (
	minElectionTimeoutMs = 100
	maxWatches           = 100_000
)

// checker collects the faults of a file.
type checker struct {
	file string
	errs []error
}

func (c *checker) report(key, format string, args ...any) {
	c.errs = append(c.errs, &Error{c.file, key, fmt.Sprintf(format, args...)})
}

func (c *checker) address(key, address string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		c.report(key, "%q: HOST:PORT is needed", address)
	}
}

func (c *checker) addresses(f *File) {
	if f.Name == "" {
		c.report("name", "is missing")
	}
	if f.Dir == "" {
		c.report("dir", "is missing: the folder of what outlives the process")
	}
	c.address("listen", f.Listen)
	if f.MetricsAddress != "" {
		c.address("figures", f.MetricsAddress)
	}
	if f.RaftListen != "" {
		c.address("raft_listen", f.RaftListen)
	}
}

func (c *checker) limits(f *File) {
	if f.ElectionTimeoutMs < minElectionTimeoutMs {
		c.report("election_ms", "at least %d, not %d", minElectionTimeoutMs, f.ElectionTimeoutMs)
	}
	minAge := time.Duration(f.ElectionTimeoutMs)*time.Millisecond + raftnode.FreshnessInterval
	if f.MaxListAgeMs < int(minAge.Milliseconds()) {
		c.report("stale_ms", "%d: at least election_ms and %v, %d, or each election has the list go silent", f.MaxListAgeMs,
			raftnode.FreshnessInterval, minAge.Milliseconds())
	}
	if f.MaxWatches < 1 || f.MaxWatches > maxWatches {
		c.report("watchers", "from 1 to %d, not %d", maxWatches, f.MaxWatches)
	}
	if !(f.Lease.HoldThreshold >= 0 && f.Lease.HoldThreshold <= 1) {
		c.report("lease.part", "is a part, from 0 to 1, not %v", f.Lease.HoldThreshold)
	}
	if !(f.Lease.ReleaseRate > 0 && f.Lease.ReleaseRate <= 1) {
		c.report("lease.pace", "is a part, over 0 and at most 1, not %v", f.Lease.ReleaseRate)
	}
}

func (c *checker) members(f *File) {
	if n := len(f.Members); n > 0 && n%2 == 0 {
		c.report("member", "there are %d: an odd number outlives as many losses with one member less", n)
	}
	listed, names := false, map[string]bool{}
	for i, m := range f.Members {
		key := fmt.Sprintf("member[%d]", i+1)
		if m.Name == "" || names[m.Name] {
			c.report(key+".name", "%q is empty or given twice", m.Name)
		}
		names[m.Name] = true
		c.address(key+".raft", m.Raft)
		c.address(key+".list", m.List)
		listed = listed || m.Name == f.Name
	}
	if len(f.Members) > 0 && !listed {
		c.report("name", "%q is none of the members", f.Name)
	}
}

// Node returns the configuration of the raft node, without its logger.
func (f File) Node() raftnode.Config {
	c := raftnode.Config{Name: f.Name, Dir: f.Dir, Listen: f.RaftListen,
		ElectionTimeout: time.Duration(f.ElectionTimeoutMs) * time.Millisecond,
		MaxListAge:      time.Duration(f.MaxListAgeMs) * time.Millisecond, Lease: lease.DefaultConfig()}
	c.Lease.HoldThreshold, c.Lease.ReleaseRate = f.Lease.HoldThreshold, f.Lease.ReleaseRate
	for _, m := range f.Members {
		c.Peers = append(c.Peers, raftnode.Peer{Name: m.Name, Raft: m.Raft, API: m.List})
	}
	return c
}
