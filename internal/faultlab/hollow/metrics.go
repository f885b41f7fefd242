package hollow

import (
	"merlinpick/internal/cluster/transport"
)

// Step is a version of the list, and when it was there: nanoseconds of the machine's clock.
type VersionTime struct {
	Version    int64 `json:"i"`
	ReceivedAt int64 `json:"at"`
}

// Change is a change that a nodo asked for, and the version that has it.
type Change struct {
	Version     int64 `json:"i"`
	RequestedAt int64 `json:"asked"` // when the call was made first
	ConfirmedAt int64 `json:"sure"`  // when it was answered
}

// Death is a nodo that dies without a word, or that a proxy no longer has in its list though it did not drain.
type Death struct {
	Name string `json:"name"`
	At   int64  `json:"at"`
}

// Figures are a process's.
type Metrics struct {
	Ready          bool           `json:"ready"` // all have a list, are in it, and are in the fleet
	NotReadyReason string         `json:"missing,omitempty"`
	Proxies        []ProxyMetrics `json:"proxies,omitempty"`
	Servers        ServerMetrics  `json:"nodos"`
	StallMs        float64        `json:"stall_ms"` // the longest in which the process did not run, since the figures began
	RelayDrops     int            `json:"over"`     // datagrams for which its relays had no room
	RSS            int64          `json:"rss"`      // bytes of memory it has now
	CPU            int64          `json:"cpu"`      // nanoseconds so far
}

// ProxyFigures are a proxy's, in the order of its parts: what each part that it follows adds stands in a record of its own.
type ProxyMetrics struct {
	Name    string          `json:"name"`
	List    ListMetrics     `json:"list"`
	Cluster *ClusterMetrics `json:"fleet,omitempty"`
	Calls   CallMetrics     `json:"calls"`

	Config *ConfigMetrics `json:"config,omitempty"` // nil: it follows none
}

// ConfigFigures are of the configuration that a proxy follows.
type ConfigMetrics struct {
	Service         string        `json:"service"`
	Versions        []VersionTime `json:"steps"`   // versions, and when each was in force, since the figures began, and the one before
	Version         int64         `json:"version"` // that the client holds to be in force; 0: the file's
	RejectedVersion int64         `json:"refused"` // version that could not be put in force; 0: none
	Failures        int64         `json:"failures"`
	AgeMs           float64       `json:"age_ms"` // since a member last answered; -1: never
}

// ListFigures are of the list that a proxy follows.
type ListMetrics struct {
	Versions  []VersionTime `json:"steps"`          // since the figures began, and the one before
	Removed   []Death       `json:"lost,omitempty"` // since the figures began
	Servers   int           `json:"servers"`
	Failovers int64         `json:"moves"`
	Failures  int64         `json:"failures"`
	AgeMs     float64       `json:"age_ms"` // since a member last answered; -1: never
}

// FleetFigures are of the fleet that it takes part in.
type ClusterMetrics struct {
	LiveMembers   int              `json:"living"`
	Entries       int              `json:"entries"` // of others, acted on
	OldestEntryMs float64          `json:"oldest_ms"`
	Queued        int              `json:"waiting"` // entries that are to be passed on
	Sent          int64            `json:"sent"`
	BytesIn       int64            `json:"in"` // bytes
	BytesOut      int64            `json:"out"`
	Dropped       int64            `json:"dropped"`
	Rejected      map[string]int64 `json:"refused,omitempty"`
	EntryAgesMs   []float64        `json:"ages_ms,omitempty"` // of what is acted on now
}

// DecidedFigures are of the calls that it decided on.
type CallMetrics struct {
	Taken    int64 `json:"taken"`
	Sent     int64 `json:"sent"`
	Rejected int64 `json:"refused"`
	Failed   int64 `json:"failed"`
}

// NodoFigures are of all nodos of a process together.
type ServerMetrics struct {
	Changes []Change `json:"changes,omitempty"` // since the figures began
	Deaths  []Death  `json:"deaths,omitempty"`  // likewise
	Alive   int      `json:"living"`
}

func newClusterMetrics(f transport.Metrics, ages []float64) *ClusterMetrics {
	return &ClusterMetrics{LiveMembers: f.LiveMembers, Entries: f.Entries, OldestEntryMs: float64(f.OldestEntry.Microseconds()) / 1000, Queued: f.Queued,
		Sent: f.Sent, BytesIn: f.BytesIn, BytesOut: f.BytesOut, Dropped: f.Dropped, Rejected: f.Rejected, EntryAgesMs: ages}
}
