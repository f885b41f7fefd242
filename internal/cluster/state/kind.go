package state

// Kind is what an entry reports. Zero, and numbers that a newer version defines, are unknown kinds.
type Kind uint8

// The numbers are part of the wire format: they are never reused.
const (
	ServerUnhealthy Kind = 1 + iota // the observer's calls to a server fail
	ServerHealthy                   // its calls to a server succeed that others report as unhealthy
	ZoneUnhealthy                   // as seen from the observer's zone; the subject is the other zone
	ZoneHealthy
	ServerFlap // transitions of a server's health
	ServerLoad // load and latency of a server
	Override   // an operator's suspension of a server
	kindCount
)

// kindParams are the gossip parameters of a kind.
type kindParams struct {
	name           string
	ttl            int64 // from ObservedAt to the expiry, at most
	updateInterval int64 // between two publications of changed numbers, at least
	maxPerObserver int   // entries
}

var paramsByKind = [kindCount]kindParams{
	ServerUnhealthy: {"server-unhealthy", 3 * second, 300 * millisecond, 256},
	ServerHealthy:   {"server-healthy", 3 * second, 300 * millisecond, 256},
	ZoneUnhealthy:   {"zone-unhealthy", 3 * second, 300 * millisecond, 32},
	ZoneHealthy:     {"zone-healthy", 3 * second, second, 32}, // every member publishes it all the time
	ServerFlap:      {"server-flap", 60 * second, 0, 128},
	ServerLoad:      {"server-load", 5 * second, 2 * second, 256}, // beyond one weight tuning round of 3 s
	Override:        {"override", resumptionTTL, 0, 0},
}

const (
	millisecond = 1000 // microseconds
	second      = 1000 * millisecond
)

// Known reports whether this version defines the kind.
func (k Kind) Known() bool { return k > 0 && k < kindCount }

// String returns the kind's name in test and lab output.
func (k Kind) String() string {
	if !k.Known() {
		return "unknown"
	}
	return paramsByKind[k].name
}

// TTL returns the longest TTL of the kind's entries in microseconds, 0 for an unknown kind. For Override it is the TTL
// of a resumption, as a suspension does not expire.
func (k Kind) TTL() int64 {
	if !k.Known() {
		return 0
	}
	return paramsByKind[k].ttl
}
