package hollow

import (
	"merlinpick/internal/cluster/transport"
)

// VersionTime is a version and the time of its arrival in Unix nanoseconds.
type VersionTime struct {
	Version    int64 `json:"i"`
	ReceivedAt int64 `json:"at"`
}

// Change is a change that a server requested, and the version that includes it. Times are Unix nanoseconds.
type Change struct {
	Version     int64 `json:"i"`
	RequestedAt int64 `json:"asked"` // start of the first call
	ConfirmedAt int64 `json:"sure"`
}

// Death is a server that dies without deregistering, or that a proxy's list lost without draining; in Unix nanoseconds.
type Death struct {
	Name string `json:"name"`
	At   int64  `json:"at"`
}

// Metrics are the figures of a process, since ResetMetrics where they count.
type Metrics struct {
	Ready          bool           `json:"ready"` // all proxies have a list and a cluster, all servers are listed
	NotReadyReason string         `json:"missing,omitempty"`
	Proxies        []ProxyMetrics `json:"proxies,omitempty"`
	Servers        ServerMetrics  `json:"nodos"`
	StallMs        float64        `json:"stall_ms"` // longest time in which the process did not run
	RelayDrops     int            `json:"over"`     // datagrams dropped for lack of room
	RSS            int64          `json:"rss"`      // bytes
	CPU            int64          `json:"cpu"`      // nanoseconds since the start
}

// ProxyMetrics are the figures of a proxy, by its parts.
type ProxyMetrics struct {
	Name    string          `json:"name"`
	List    ListMetrics     `json:"list"`
	Cluster *ClusterMetrics `json:"fleet,omitempty"`
	Calls   CallMetrics     `json:"calls"`

	Config *ConfigMetrics `json:"config,omitempty"` // nil: it follows no configuration
}

// ConfigMetrics describe the configuration that a proxy follows.
type ConfigMetrics struct {
	Service         string        `json:"service"`
	Versions        []VersionTime `json:"steps"`   // applied since ResetMetrics, and the one before
	Version         int64         `json:"version"` // in force; 0: the file's
	RejectedVersion int64         `json:"refused"` // could not be applied; 0: none
	Failures        int64         `json:"failures"`
	AgeMs           float64       `json:"age_ms"` // since a registry member last answered; -1: never
}

// ListMetrics describe the endpoint list that a proxy follows.
type ListMetrics struct {
	Versions  []VersionTime `json:"steps"`          // received since ResetMetrics, and the one before
	Removed   []Death       `json:"lost,omitempty"` // since ResetMetrics
	Servers   int           `json:"servers"`
	Failovers int64         `json:"moves"`
	Failures  int64         `json:"failures"`
	AgeMs     float64       `json:"age_ms"` // since a registry member last answered; -1: never
}

// ClusterMetrics describe a proxy's membership.
type ClusterMetrics struct {
	LiveMembers   int              `json:"living"`
	Entries       int              `json:"entries"` // live ones of peers
	OldestEntryMs float64          `json:"oldest_ms"`
	Queued        int              `json:"waiting"` // entries
	Sent          int64            `json:"sent"`
	BytesIn       int64            `json:"in"` // bytes
	BytesOut      int64            `json:"out"`
	Dropped       int64            `json:"dropped"`
	Rejected      map[string]int64 `json:"refused,omitempty"`
	EntryAgesMs   []float64        `json:"ages_ms,omitempty"` // of live entries of peers
}

// CallMetrics count the calls of a proxy.
type CallMetrics struct {
	Taken    int64 `json:"taken"`
	Sent     int64 `json:"sent"`
	Rejected int64 `json:"refused"`
	Failed   int64 `json:"failed"`
}

// ServerMetrics are the figures of all servers of a process.
type ServerMetrics struct {
	Changes []Change `json:"changes,omitempty"` // since ResetMetrics
	Deaths  []Death  `json:"deaths,omitempty"`  // since ResetMetrics
	Alive   int      `json:"living"`
}

func newClusterMetrics(f transport.Metrics, ages []float64) *ClusterMetrics {
	return &ClusterMetrics{LiveMembers: f.LiveMembers, Entries: f.Entries,
		OldestEntryMs: float64(f.OldestEntry.Microseconds()) / 1000, Queued: f.Queued,
		Sent: f.Sent, BytesIn: f.BytesIn, BytesOut: f.BytesOut, Dropped: f.Dropped, Rejected: f.Rejected, EntryAgesMs: ages}
}
