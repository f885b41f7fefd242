// Package config is the configuration of a member of the list service: a TOML file, read whole or not at all.
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

// File is a configuration as it is written. Times end in _ms and are milliseconds.
type File struct {
	Name              string   `toml:"name"`
	Dir               string   `toml:"dir"`         // what outlives the process
	Listen            string   `toml:"listen"`      // the list's address
	MetricsAddress    string   `toml:"figures"`     // figures and readiness; empty: none
	RaftListen        string   `toml:"raft_listen"` // of the consensus, if not the address by which the others find it
	ElectionTimeoutMs int      `toml:"election_ms"` // without a word from the leader, until another is elected
	MaxListAgeMs      int      `toml:"stale_ms"`    // a list that is older is not told
	MaxWatches        int      `toml:"watchers"`    // watches held at once
	Lease             Lease    `toml:"lease"`
	Members           []Member `toml:"member"` // all of them, this one too; none: it is the only one
}

// Lease is what leases go by: package lease has the meaning.
type Lease struct {
	HoldThreshold float64 `toml:"part"`
	ReleaseRate   float64 `toml:"pace"`
}

// Member is a member as this one finds it.
type Member struct {
	Name string `toml:"name"`
	Raft string `toml:"raft"`
	List string `toml:"list"`
}

// Default is an only member on this machine.
func Default() File {
	l := lease.DefaultConfig()
	return File{Name: "roster", Dir: "roster-data", Listen: "127.0.0.1:8500", MetricsAddress: "127.0.0.1:9500", ElectionTimeoutMs: 500,
		MaxListAgeMs: 2000, MaxWatches: 6000, Lease: Lease{l.HoldThreshold, l.ReleaseRate}}
}

// Read reads a file; an empty path is Default. A relative dir is below the file's own folder. The error joins all faults.
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

// Parse reads a file's text; name stands for the file in errors.
func Parse(name, text string) (File, error) {
	f := Default()
	meta, err := toml.Decode(text, &f)
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return f, fmt.Errorf("%s:%d: %s", name, parse.Position.Line, cmp.Or(parse.Message, parse.Error()))
	}
	if err != nil {
		return f, fmt.Errorf("%s: %w", name, err)
	}
	var found []error
	fault := func(key, format string, args ...any) {
		found = append(found, fmt.Errorf("%s: %s: %s", name, key, fmt.Sprintf(format, args...)))
	}
	for _, key := range meta.Undecoded() {
		fault(key.String(), "unknown key; docs/discovery.md has them all")
	}
	f.check(fault)
	return f, errors.Join(found...)
}

const (
	minElectionMs = 100 // ms
	maxWatches    = 100_000
)

func (f *File) check(fault func(key, format string, args ...any)) {
	address := func(key, v string) {
		if _, _, err := net.SplitHostPort(v); err != nil {
			fault(key, "%q: HOST:PORT is needed", v)
		}
	}
	if f.Name == "" {
		fault("name", "is missing")
	}
	if f.Dir == "" {
		fault("dir", "is missing: the folder of what outlives the process")
	}
	address("listen", f.Listen)
	if f.MetricsAddress != "" {
		address("figures", f.MetricsAddress)
	}
	if f.RaftListen != "" {
		address("raft_listen", f.RaftListen)
	}
	if f.ElectionTimeoutMs < minElectionMs {
		fault("election_ms", "at least %d, not %d", minElectionMs, f.ElectionTimeoutMs)
	}
	if least := time.Duration(f.ElectionTimeoutMs)*time.Millisecond + raftnode.FreshnessInterval; f.MaxListAgeMs < int(least.Milliseconds()) {
		fault("stale_ms", "%d: at least election_ms and %v, %d, or each election has the list go silent", f.MaxListAgeMs,
			raftnode.FreshnessInterval, least.Milliseconds())
	}
	if f.MaxWatches < 1 || f.MaxWatches > maxWatches {
		fault("watchers", "from 1 to %d, not %d", maxWatches, f.MaxWatches)
	}
	if !(f.Lease.HoldThreshold >= 0 && f.Lease.HoldThreshold <= 1) {
		fault("lease.part", "is a part, from 0 to 1, not %v", f.Lease.HoldThreshold)
	}
	if !(f.Lease.ReleaseRate > 0 && f.Lease.ReleaseRate <= 1) {
		fault("lease.pace", "is a part, over 0 and at most 1, not %v", f.Lease.ReleaseRate)
	}
	if n := len(f.Members); n > 0 && n%2 == 0 {
		fault("member", "there are %d: an odd number outlives as many losses with one member less", n)
	}
	own, seen := false, map[string]bool{}
	for i, m := range f.Members {
		key := fmt.Sprintf("member[%d]", i+1)
		if m.Name == "" || seen[m.Name] {
			fault(key+".name", "%q is empty or given twice", m.Name)
		}
		seen[m.Name] = true
		address(key+".raft", m.Raft)
		address(key+".list", m.List)
		own = own || m.Name == f.Name
	}
	if len(f.Members) > 0 && !own {
		fault("name", "%q is none of the members", f.Name)
	}
}

// Member is the configuration of the member itself.
func (f File) Node() raftnode.Config {
	c := raftnode.Config{Name: f.Name, Dir: f.Dir, Listen: f.RaftListen, ElectionTimeout: time.Duration(f.ElectionTimeoutMs) * time.Millisecond,
		MaxListAge: time.Duration(f.MaxListAgeMs) * time.Millisecond, Lease: lease.DefaultConfig()}
	c.Lease.HoldThreshold, c.Lease.ReleaseRate = f.Lease.HoldThreshold, f.Lease.ReleaseRate
	for _, m := range f.Members {
		c.Peers = append(c.Peers, raftnode.Peer{Name: m.Name, Raft: m.Raft, API: m.List})
	}
	return c
}
