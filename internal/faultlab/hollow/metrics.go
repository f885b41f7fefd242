package hollow

import (
	"merlinpick/internal/cluster/transport"
)

// VersionTime is a version of a list or configuration, and the time of its arrival in Unix nanoseconds.
type VersionTime struct {
	Version    int64 `json:"i"`
	ReceivedAt int64 `json:"at"`
}

// Change is a change of the endpoint list that a server requested, and the first version that includes it.
// Times are in Unix nanoseconds.
type Change struct {
	Version     int64 `json:"i"`
	RequestedAt int64 `json:"asked"` // start of the first call to the registry
	ConfirmedAt int64 `json:"sure"`  // arrival of the registry's answer
}

// Death is a server that died without deregistering, or that disappeared from a proxy's list without
// draining.
type Death struct {
	Name string `json:"name"`
	At   int64  `json:"at"` // Unix nanoseconds
}

// Metrics holds the metrics of a process. Values are since the start of the process unless their comment
// names ResetMetrics.
type Metrics struct {
	Ready          bool           `json:"ready"` // whether all proxies and servers are ready
	NotReadyReason string         `json:"missing,omitempty"`
	Proxies        []ProxyMetrics `json:"proxies,omitempty"`
	Servers        ServerMetrics  `json:"nodos"`
	StallMs        float64        `json:"stall_ms"` // longest delay of a wake-up since ResetMetrics
	RelayDrops     int            `json:"over"`     // datagrams that relays dropped: their queue was full
	RSS            int64          `json:"rss"`      // resident memory in bytes
	CPU            int64          `json:"cpu"`      // CPU time in nanoseconds since the start
}

// ProxyMetrics holds the metrics of a proxy's components.
type ProxyMetrics struct {
	Name    string          `json:"name"`
	List    ListMetrics     `json:"list"`
	Cluster *ClusterMetrics `json:"fleet,omitempty"`
	Calls   CallMetrics     `json:"calls"`

	Config *ConfigMetrics `json:"config,omitempty"` // nil: it follows no configuration
}

// ConfigMetrics describes the configuration that a proxy follows.
type ConfigMetrics struct {
	Service         string        `json:"service"`
	Versions        []VersionTime `json:"steps"`    // applied since ResetMetrics, and the last one before
	Version         int64         `json:"version"`  // version in force; 0: that of the configuration file
	RejectedVersion int64         `json:"refused"`  // version that could not be applied; 0: none
	Failures        int64         `json:"failures"` // failed calls since ResetMetrics
	AgeMs           float64       `json:"age_ms"`   // since a registry member last answered; -1: never
}

// ListMetrics describes the endpoint list that a proxy follows.
type ListMetrics struct {
	Versions  []VersionTime `json:"steps"`          // received since ResetMetrics, and the last one before
	Removed   []Death       `json:"lost,omitempty"` // servers removed without draining since ResetMetrics
	Servers   int           `json:"servers"`
	Failovers int64         `json:"moves"`    // to another registry member, since ResetMetrics
	Failures  int64         `json:"failures"` // failed calls since ResetMetrics
	AgeMs     float64       `json:"age_ms"`   // since a registry member last answered; -1: never
}

// ClusterMetrics describes a proxy's membership of the cluster.
type ClusterMetrics struct {
	LiveMembers   int              `json:"living"`
	Entries       int              `json:"entries"` // live entries of peers
	OldestEntryMs float64          `json:"oldest_ms"`
	Queued        int              `json:"waiting"` // entries to be sent
	Sent          int64            `json:"sent"`
	BytesIn       int64            `json:"in"`
	BytesOut      int64            `json:"out"`
	Dropped       int64            `json:"dropped"`
	Rejected      map[string]int64 `json:"refused,omitempty"`
	EntryAgesMs   []float64        `json:"ages_ms,omitempty"` // ages of the live entries of peers
}

// CallMetrics counts the simulated calls of a proxy since its start.
type CallMetrics struct {
	Taken    int64 `json:"taken"`   // calls passed to the balancer
	Sent     int64 `json:"sent"`    // attempts
	Rejected int64 `json:"refused"` // calls that the balancer rejected
	Failed   int64 `json:"failed"`  // calls that the balancer failed
}

// ServerMetrics holds the metrics of all servers of a process.
type ServerMetrics struct {
	Changes []Change `json:"changes,omitempty"` // since ResetMetrics
	Deaths  []Death  `json:"deaths,omitempty"`  // since ResetMetrics
	Alive   int      `json:"living"`
}

// newClusterMetrics converts the metrics of the cluster transport; ages are those of the live peer entries in
// ms.
func newClusterMetrics(f transport.Metrics, ages []float64) *ClusterMetrics {
	return &ClusterMetrics{LiveMembers: f.LiveMembers, Entries: f.Entries,
		OldestEntryMs: float64(f.OldestEntry.Microseconds()) / 1000, Queued: f.Queued,
		Sent: f.Sent, BytesIn: f.BytesIn, BytesOut: f.BytesOut, Dropped: f.Dropped, Rejected: f.Rejected, EntryAgesMs: ages}
}
