package hollow

import (
	"merlinpick/internal/cluster/transport"
)

// Step is a version of the list, and when it was there: nanoseconds of the machine's clock.
type Step struct {
	Index int64 `json:"i"`
	At    int64 `json:"at"`
}

// Change is a change that a nodo asked for, and the version that has it.
type Change struct {
	Index int64 `json:"i"`
	Asked int64 `json:"asked"` // when the call was made first
	Sure  int64 `json:"sure"`  // when it was answered
}

// Death is a nodo that dies without a word, or that a proxy no longer has in its list though it did not drain.
type Death struct {
	Name string `json:"name"`
	At   int64  `json:"at"`
}

// Figures are a process's.
type Figures struct {
	Ready   bool           `json:"ready"` // all have a list, are in it, and are in the fleet
	Missing string         `json:"missing,omitempty"`
	Proxies []ProxyFigures `json:"proxies,omitempty"`
	Nodos   NodoFigures    `json:"nodos"`
	StallMs float64        `json:"stall_ms"` // the longest in which the process did not run, since the figures began
	Over    int            `json:"over"`     // datagrams for which its relays had no room
	RSS     int64          `json:"rss"`      // bytes of memory it has now
	CPU     int64          `json:"cpu"`      // nanoseconds so far
}

// ProxyFigures are a proxy's, in the order of its parts: what each part that it follows adds stands in a record of its own.
type ProxyFigures struct {
	Name  string         `json:"name"`
	List  ListFigures    `json:"list"`
	Fleet *FleetFigures  `json:"fleet,omitempty"`
	Calls DecidedFigures `json:"calls"`

	Config *ConfigFigures `json:"config,omitempty"` // nil: it follows none
}

// ConfigFigures are of the configuration that a proxy follows.
type ConfigFigures struct {
	Service  string  `json:"service"`
	Steps    []Step  `json:"steps"`   // versions, and when each was in force, since the figures began, and the one before
	Version  int64   `json:"version"` // that the client holds to be in force; 0: the file's
	Refused  int64   `json:"refused"` // version that could not be put in force; 0: none
	Failures int64   `json:"failures"`
	AgeMs    float64 `json:"age_ms"` // since a member last answered; -1: never
}

// ListFigures are of the list that a proxy follows.
type ListFigures struct {
	Steps    []Step  `json:"steps"`          // since the figures began, and the one before
	Lost     []Death `json:"lost,omitempty"` // since the figures began
	Servers  int     `json:"servers"`
	Moves    int64   `json:"moves"`
	Failures int64   `json:"failures"`
	AgeMs    float64 `json:"age_ms"` // since a member last answered; -1: never
}

// FleetFigures are of the fleet that it takes part in.
type FleetFigures struct {
	Living  int              `json:"living"`
	Entries int              `json:"entries"` // of others, acted on
	Oldest  float64          `json:"oldest_ms"`
	Waiting int              `json:"waiting"` // entries that are to be passed on
	Sent    int64            `json:"sent"`
	In      int64            `json:"in"` // bytes
	Out     int64            `json:"out"`
	Dropped int64            `json:"dropped"`
	Refused map[string]int64 `json:"refused,omitempty"`
	Ages    []float64        `json:"ages_ms,omitempty"` // of what is acted on now
}

// DecidedFigures are of the calls that it decided on.
type DecidedFigures struct {
	Taken   int64 `json:"taken"`
	Sent    int64 `json:"sent"`
	Refused int64 `json:"refused"`
	Failed  int64 `json:"failed"`
}

// NodoFigures are of all nodos of a process together.
type NodoFigures struct {
	Changes []Change `json:"changes,omitempty"` // since the figures began
	Deaths  []Death  `json:"deaths,omitempty"`  // likewise
	Living  int      `json:"living"`
}

func fleetFigures(f transport.Metrics, ages []float64) *FleetFigures {
	return &FleetFigures{Living: f.LiveMembers, Entries: f.Entries, Oldest: float64(f.OldestEntry.Microseconds()) / 1000, Waiting: f.Queued,
		Sent: f.Sent, In: f.BytesIn, Out: f.BytesOut, Dropped: f.Dropped, Refused: f.Rejected, Ages: ages}
}
