// Package config reads the configuration of a registry member, a TOML file, and checks it. It maps the file's
// keys, some of which are older than the terms in the code, to the fields of File.
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

// File holds the keys of a configuration file. Durations are in ms.
type File struct {
	Name              string   `toml:"name"`        // name of this member
	Dir               string   `toml:"dir"`         // directory of the raft log and snapshots
	Listen            string   `toml:"listen"`      // address of the API
	MetricsAddress    string   `toml:"figures"`     // address of metrics and readiness; empty: none
	RaftListen        string   `toml:"raft_listen"` // for raft's traffic; empty: this member's Raft address
	ElectionTimeoutMs int      `toml:"election_ms"` // an election starts after this time without a heartbeat
	MaxListAgeMs      int      `toml:"stale_ms"`    // the member does not serve a list that is older
	MaxWatches        int      `toml:"watchers"`    // maximum number of watches in flight
	Lease             Lease    `toml:"lease"`
	Members           []Member `toml:"member"` // all members including this one; empty: a cluster of one
}

// Lease holds the settings of the lease table; lease.Config describes them.
type Lease struct {
	HoldThreshold float64 `toml:"part"`
	ReleaseRate   float64 `toml:"pace"`
}

// Member names a member of the cluster and its addresses, HOST:PORT.
type Member struct {
	Name string `toml:"name"`
	Raft string `toml:"raft"` // address for raft's traffic
	List string `toml:"list"` // address of the API
}

// Error reports an invalid key or value of a file.
type Error struct {
	File    string
	Key     string
	Problem string // what is wrong, and what is accepted
}

// Error returns the file, the key and the problem.
func (e *Error) Error() string { return e.File + ": " + e.Key + ": " + e.Problem }

// SyntaxError reports a file that is not valid TOML.
type SyntaxError struct {
	File    string
	Line    int // from 1
	Problem string
}

// Error returns the file, the line and the problem.
func (e *SyntaxError) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Problem) }

// Default returns the configuration of a cluster of one on the loopback address.
func Default() File {
	l := lease.DefaultConfig()
	return File{Name: "roster", Dir: "roster-data", Listen: "127.0.0.1:8500", MetricsAddress: "127.0.0.1:9500",
		ElectionTimeoutMs: 500, MaxListAgeMs: 2000, MaxWatches: 6000, Lease: Lease{l.HoldThreshold, l.ReleaseRate}}
}

// Read reads and checks a file; it returns Default for an empty path. A relative Dir is relative to the
// file's directory. An invalid file yields a *SyntaxError or a join of one *Error for each fault.
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

// Parse checks and returns the configuration in text. Name is the file's name in errors, which are those of
// Read.
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
		check.report(key.String(), "unknown key; docs/discovery.md lists all keys")
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
		c.report("dir", "is missing: the directory for the raft log and snapshots is needed")
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
		c.report("stale_ms", "%d: at least election_ms plus %v, %d, or each election stops serving the list",
			f.MaxListAgeMs, raftnode.FreshnessInterval, minAge.Milliseconds())
	}
	if f.MaxWatches < 1 || f.MaxWatches > maxWatches {
		c.report("watchers", "from 1 to %d, not %d", maxWatches, f.MaxWatches)
	}
	if !(f.Lease.HoldThreshold >= 0 && f.Lease.HoldThreshold <= 1) {
		c.report("lease.part", "is a fraction from 0 to 1, not %v", f.Lease.HoldThreshold)
	}
	if !(f.Lease.ReleaseRate > 0 && f.Lease.ReleaseRate <= 1) {
		c.report("lease.pace", "is a fraction above 0 and at most 1, not %v", f.Lease.ReleaseRate)
	}
}

func (c *checker) members(f *File) {
	if n := len(f.Members); n > 0 && n%2 == 0 {
		c.report("member", "there are %d: use an odd number; one member less tolerates as many failures", n)
	}
	listed, names := false, map[string]bool{}
	for i, m := range f.Members {
		key := fmt.Sprintf("member[%d]", i+1)
		if m.Name == "" || names[m.Name] {
			c.report(key+".name", "%q is empty or occurs twice", m.Name)
		}
		names[m.Name] = true
		c.address(key+".raft", m.Raft)
		c.address(key+".list", m.List)
		listed = listed || m.Name == f.Name
	}
	if len(f.Members) > 0 && !listed {
		c.report("name", "%q is not among the members", f.Name)
	}
}

// Node returns the configuration of the raft node. The caller has to set its logger.
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
