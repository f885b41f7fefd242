package management

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"
)

// RequestCounts counts the finished requests of a class by result.
type RequestCounts struct {
	Succeeded int64
	Rejected  int64 // rejected by the proxy itself
	Failed    int64
}

// Metrics are the proxy's metrics. Counts are totals since the process started. The names under which they
// are exported are only in the encode methods.
type Metrics struct {
	Classes         map[string]RequestCounts
	InFlight        int64         // requests in flight
	Forwarded       int64         // attempts whose request was sent completely
	ListedServers   int           // servers in the endpoint list
	EjectedServers  int           // listed servers that get no requests, or only trial requests
	ReloadsApplied  int64         // configuration reloads on SIGHUP that were applied
	ReloadsRejected int64         // configuration reloads on SIGHUP that were rejected
	Rollout         *Rollout      // nil unless the proxy follows a service's configuration at the registry
	EndpointList    *EndpointList // may be nil
	Cluster         *Cluster      // nil unless the proxy is a member of a cluster
	Zones           []Zone        // empty unless the proxy is a member of a cluster or a zone is drained

	RuleViolations map[string]int64 // violations of its own rules that the proxy detected, by rule
	Events         map[string]int64 // closed connections, rejections and ended attempts, by reason
}

// EndpointList describes how up to date the proxy's endpoint list is.
type EndpointList struct {
	Age      time.Duration    // time since discovery last confirmed the list; negative: never
	Stale    bool             // the list may have changed without the proxy having received the change
	Failures int64            // failed calls to discovery
	Calls    map[string]int64 // calls to discovery, by result

	Registry *RegistryClient // nil unless the list comes from the registry
}

// RegistryClient describes the proxy's connection to the registry.
type RegistryClient struct {
	Failovers         int64 // changes from one registry member to another
	RetainedEndpoints int64 // endpoints that a new epoch of the list lacks and that are kept for a while
}

// Rollout describes the configuration that the proxy received for its service.
type Rollout struct {
	Version         int64         // active version; 0: the settings of the configuration file are active
	RejectedVersion int64         // newer version that could not be applied; 0: none
	Age             time.Duration // time since a registry member last answered; negative: never
	Applied         int64         // documents applied
	Failures        int64         // failed calls to the registry
}

// Cluster describes the proxy's membership in its cluster.
type Cluster struct {
	Open              bool             // the cluster address is bound
	LiveMembers       int              // live members, including this one
	LiveMembersInZone int              // those of them in this member's zone
	Isolated          bool             // no other member responds; only the proxy's own data counts
	Isolations        int64            // times that the proxy became isolated
	Entries           int              // live entries of other members
	OldestEntry       time.Duration    // age of the oldest of these entries
	SuspendedServers  int              // suspended servers and drained zones, by the overrides of all members
	BytesIn, BytesOut int64            // gossip traffic
	Sent              int64            // entries gossiped; each transmission counts
	Dropped           int64            // messages and entries that were dropped because a queue was full
	Joined, Left      int64            // members that joined, and that left or died
	JoinAttempts      int64            // join attempts, to seeds and to lost members
	JoinFailures      int64            // join attempts that failed
	Rejected          map[string]int64 // rejected messages, by reason
}

// encode returns the text of the metrics: one metric per line, as name=value, in a stable order.
func (m Metrics) encode() []byte {
	var b bytes.Buffer
	for _, class := range slices.Sorted(maps.Keys(m.Classes)) {
		counts := m.Classes[class]
		fmt.Fprintf(&b, "app.succeeded.%s=%d\napp.declined.%s=%d\napp.aborted.%s=%d\n",
			class, counts.Succeeded, class, counts.Rejected, class, counts.Failed)
	}
	fmt.Fprintf(&b, "app.outstanding=%d\napp.forwards=%d\napp.discovered=%d\napp.ejected=%d\n"+
		"app.sighup_applied=%d\napp.sighup_rejected=%d\n",
		m.InFlight, m.Forwarded, m.ListedServers, m.EjectedServers, m.ReloadsApplied, m.ReloadsRejected)
	encodeCounts(&b, "app.broken.", m.RuleViolations)
	encodeCounts(&b, "app.", m.Events)
	m.EndpointList.encode(&b)
	m.Rollout.encode(&b)
	m.Cluster.encode(&b)
	for i := range m.Zones {
		m.Zones[i].encode(&b)
	}
	return b.Bytes()
}

// encodeCounts writes one line for each count, sorted by name.
func encodeCounts(b *bytes.Buffer, prefix string, counts map[string]int64) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(b, "%s%s=%d\n", prefix, name, counts[name])
	}
}

// ageMs returns an age in milliseconds, or -1 if it is negative, which means that there is none.
func ageMs(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// boolMetric returns the value of a boolean metric.
func boolMetric(b bool) int {
	if b {
		return 1
	}
	return 0
}

// encode writes the metrics of the endpoint list; nil writes none.
func (l *EndpointList) encode(b *bytes.Buffer) {
	if l == nil {
		return
	}
	fmt.Fprintf(b, "app.list_age_ms=%d\napp.list_stale=%d\napp.list_failures=%d\n",
		ageMs(l.Age), boolMetric(l.Stale), l.Failures)
	encodeCounts(b, "app.list_calls.", l.Calls)
	if r := l.Registry; r != nil {
		fmt.Fprintf(b, "app.list_moves=%d\napp.list_kept=%d\n", r.Failovers, r.RetainedEndpoints)
	}
}

// encode writes the metrics of the rollout; nil writes none.
func (r *Rollout) encode(b *bytes.Buffer) {
	if r == nil {
		return
	}
	fmt.Fprintf(b, "app.config_version=%d\napp.config_refused=%d\napp.config_age_ms=%d\napp.config_applied=%d\n"+
		"app.config_failures=%d\n", r.Version, r.RejectedVersion, ageMs(r.Age), r.Applied, r.Failures)
}

// encode writes the metrics of the cluster; nil writes none.
func (c *Cluster) encode(b *bytes.Buffer) {
	if c == nil {
		return
	}
	fmt.Fprintf(b, "app.fleet_open=%d\napp.fleet_living=%d\napp.fleet_near=%d\napp.fleet_alone=%d\n"+
		"app.fleet_times_alone=%d\napp.fleet_entries=%d\napp.fleet_oldest_ms=%d\napp.fleet_suspended=%d\n",
		boolMetric(c.Open), c.LiveMembers, c.LiveMembersInZone, boolMetric(c.Isolated),
		c.Isolations, c.Entries, c.OldestEntry.Milliseconds(), c.SuspendedServers)
	fmt.Fprintf(b, "app.fleet_in_bytes=%d\napp.fleet_out_bytes=%d\napp.fleet_sent=%d\napp.fleet_dropped=%d\n"+
		"app.fleet_joined=%d\napp.fleet_gone=%d\napp.fleet_join_tried=%d\napp.fleet_join_failed=%d\n",
		c.BytesIn, c.BytesOut, c.Sent, c.Dropped, c.Joined, c.Left, c.JoinAttempts, c.JoinFailures)
	encodeCounts(b, "app.fleet_refused.", c.Rejected)
}
