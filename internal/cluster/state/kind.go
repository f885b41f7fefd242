package state

// Kind is the type of an entry. Zero, and numbers that only a newer version defines, are unknown kinds.
type Kind uint8

// The numbers are part of the wire format and are never reused.
const (
	ServerUnhealthy Kind = 1 + iota // the observer's calls to a server fail
	ServerHealthy                   // calls to a server succeed that others report as unhealthy
	ZoneUnhealthy                   // the subject is another zone, seen from the observer's zone
	ZoneHealthy
	ServerFlap // changes of a server's health
	ServerLoad // a server's load and latency
	Override   // an operator's suspension or resumption of a server
	kindCount
)

// kindParams holds the gossip parameters of a kind.
type kindParams struct {
	name           string
	ttl            int64 // longest time from ObservedAt to the expiry, microseconds
	updateInterval int64 // shortest time between publications of changed numbers, microseconds
	maxPerObserver int   // entries of this kind from one observer
}

var paramsByKind = [kindCount]kindParams{
	ServerUnhealthy: {"server-unhealthy", 3 * second, 300 * millisecond, 256},
	ServerHealthy:   {"server-healthy", 3 * second, 300 * millisecond, 256},
	ZoneUnhealthy:   {"zone-unhealthy", 3 * second, 300 * millisecond, 32},
	ZoneHealthy:     {"zone-healthy", 3 * second, second, 32}, // every member publishes it all the time
	ServerFlap:      {"server-flap", 60 * second, 0, 128},
	ServerLoad:      {"server-load", 5 * second, 2 * second, 256}, // beyond a weight tuning round of 3 s
	Override:        {"override", resumptionTTL, 0, 0},
}

const (
	millisecond = 1000 // microseconds
	second      = 1000 * millisecond
)

// Known reports whether this version defines the kind.
func (k Kind) Known() bool { return k > 0 && k < kindCount }

// String returns the kind's name, as printed by tests and the fault lab.
func (k Kind) String() string {
	if !k.Known() {
		return "unknown"
	}
	return paramsByKind[k].name
}

// TTL returns the longest TTL of the kind's entries in microseconds, or 0 for an unknown kind. For Override
// it is the TTL of a resumption, because a suspension does not expire.
func (k Kind) TTL() int64 {
	if !k.Known() {
		return 0
	}
	return paramsByKind[k].ttl
}
