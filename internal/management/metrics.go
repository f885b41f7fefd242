package management

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"
)

// RequestCounts counts the requests of a class by how they ended.
type RequestCounts struct {
	Succeeded int64
	Rejected  int64 // by the proxy
	Failed    int64
}

// Metrics are the proxy's figures. Counts are totals since the start. The names that callers read stand in the encode
// methods only.
type Metrics struct {
	Classes         map[string]RequestCounts
	InFlight        int64         // requests
	Forwarded       int64         // attempts whose request was sent in full
	ListedServers   int           // in the endpoint list
	EjectedServers  int           // listed ones that get no requests, or trials only
	ReloadsApplied  int64         // configurations, at SIGHUP
	ReloadsRejected int64         // the same
	Rollout         *Rollout      // nil unless the proxy follows its service's configuration
	EndpointList    *EndpointList // may be nil
	Cluster         *Cluster      // nil unless the proxy is a member of a cluster
	Zones           []Zone        // empty unless the proxy is a member of a cluster or a zone is drained

	RuleViolations map[string]int64 // by rule, as the proxy found them in its own behaviour
	Events         map[string]int64 // closed connections, rejections and ended attempts, by reason
}

// EndpointList describes how current the proxy's endpoint list is.
type EndpointList struct {
	Age      time.Duration    // since discovery last confirmed it; negative: never
	Stale    bool             // there may be changes that the proxy has not received
	Failures int64            // calls that failed
	Calls    map[string]int64 // by result

	Registry *RegistryClient // nil unless the list comes from the registry
}

// RegistryClient describes the proxy's relation to the registry.
type RegistryClient struct {
	Failovers         int64 // from one registry member to another
	RetainedEndpoints int64 // which a new epoch of the list lacks, kept for a while
}

// Rollout describes the configuration that the proxy received for its service.
type Rollout struct {
	Version         int64         // in force; 0: the configuration file's
	RejectedVersion int64         // a newer one that could not be applied; 0: none
	Age             time.Duration // since a registry member last answered; negative: never
	Applied         int64         // documents
	Failures        int64         // calls that failed
}

// Cluster describes the proxy's membership in its cluster.
type Cluster struct {
	Open              bool          // its address is bound
	LiveMembers       int           // this one included
	LiveMembersInZone int           // of them, in this one's zone
	Isolated          bool          // no other member is heard: the proxy decides alone
	Isolations        int64         // times that this was so
	Entries           int           // live entries of other members
	OldestEntry       time.Duration // greatest age of these
	SuspendedServers  int           // and drained zones, by operators' overrides, at all members
	BytesIn, BytesOut int64
	Sent              int64            // entries gossiped, each transmission
	Dropped           int64            // messages and entries for which there was no room
	Joined, Left      int64            // members that joined, and that left or died
	JoinAttempts      int64            // calls to seeds and lost members
	JoinFailures      int64            // of them
	Rejected          map[string]int64 // messages, by reason
}

// encode writes one figure per line, in a stable order.
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

func encodeCounts(b *bytes.Buffer, prefix string, counts map[string]int64) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(b, "%s%s=%d\n", prefix, name, counts[name])
	}
}

// ageMs returns an age in milliseconds, -1 for a negative one.
func ageMs(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

func boolFigure(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (l *EndpointList) encode(b *bytes.Buffer) {
	if l == nil {
		return
	}
	fmt.Fprintf(b, "app.list_age_ms=%d\napp.list_stale=%d\napp.list_failures=%d\n", ageMs(l.Age), boolFigure(l.Stale),
		l.Failures)
	encodeCounts(b, "app.list_calls.", l.Calls)
	if r := l.Registry; r != nil {
		fmt.Fprintf(b, "app.list_moves=%d\napp.list_kept=%d\n", r.Failovers, r.RetainedEndpoints)
	}
}

func (r *Rollout) encode(b *bytes.Buffer) {
	if r == nil {
		return
	}
	fmt.Fprintf(b, "app.config_version=%d\napp.config_refused=%d\napp.config_age_ms=%d\napp.config_applied=%d\n"+
		"app.config_failures=%d\n", r.Version, r.RejectedVersion, ageMs(r.Age), r.Applied, r.Failures)
}

func (c *Cluster) encode(b *bytes.Buffer) {
	if c == nil {
		return
	}
	fmt.Fprintf(b, "app.fleet_open=%d\napp.fleet_living=%d\napp.fleet_near=%d\napp.fleet_alone=%d\n"+
		"app.fleet_times_alone=%d\napp.fleet_entries=%d\napp.fleet_oldest_ms=%d\napp.fleet_suspended=%d\n",
		boolFigure(c.Open), c.LiveMembers, c.LiveMembersInZone, boolFigure(c.Isolated),
		c.Isolations, c.Entries, c.OldestEntry.Milliseconds(), c.SuspendedServers)
	fmt.Fprintf(b, "app.fleet_in_bytes=%d\napp.fleet_out_bytes=%d\napp.fleet_sent=%d\napp.fleet_dropped=%d\n"+
		"app.fleet_joined=%d\napp.fleet_gone=%d\napp.fleet_join_tried=%d\napp.fleet_join_failed=%d\n",
		c.BytesIn, c.BytesOut, c.Sent, c.Dropped, c.Joined, c.Left, c.JoinAttempts, c.JoinFailures)
	encodeCounts(b, "app.fleet_refused.", c.Rejected)
}
