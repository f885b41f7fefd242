package transport

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"merlinpick/internal/cluster/state"
)

const (
	metaVersion         = 1
	maxMembers          = 1024 // other members that are live at the same time
	maxNameBytes        = 64   // in the name of a member, its zone and its tier
	maxLostMembers      = 64   // dead members to which this one tries to reconnect
	lostMemberRetention = 10 * time.Minute
)

// memberMeta is the metadata that each member announces with its address.
type memberMeta struct {
	Version     int    `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Tier        string `cbor:"3,keyasint"`
	StartedAtMs int64  `cbor:"4,keyasint"` // start of its process, Unix milliseconds
}

// encode returns the encoded metadata, or nil if it is longer than limit bytes.
func (m memberMeta) encode(limit int) []byte {
	data, err := cbor.Marshal(m)
	if err != nil || len(data) > limit { // cannot happen: the names are limited
		return nil
	}
	return data
}

// decodeMeta decodes a member's metadata. ok is false if it is invalid. Newer versions may have more fields.
func decodeMeta(data []byte) (m memberMeta, ok bool) {
	if len(data) > memberlist.MetaMaxSize || cbor.Unmarshal(data, &m) != nil {
		return memberMeta{}, false
	}
	return m, m.Version >= metaVersion && len(m.Zone) <= maxNameBytes && len(m.Tier) <= maxNameBytes
}

// liveMember is a live member other than this one.
type liveMember struct{ name, zone, address string }

// liveMembers tracks the other live members and implements memberlist's delegates for them. Memberlist calls
// it with a lock held, so it must not call memberlist.
type liveMembers struct {
	self     string
	tier     string
	rejected *rejections
	log      *slog.Logger
	limiter  *logLimiter
	changed  func() // called after each change of the live members

	mu         sync.Mutex
	alive      map[string]liveMember
	lost       map[string]lostMember // died without leaving
	joins      int64
	departures int64 // left or died
}

// lostMember is a member that died without leaving.
type lostMember struct {
	address string
	lostAt  time.Time
}

func newLiveMembers(self, tier string, rejected *rejections, log *slog.Logger, changed func()) *liveMembers {
	return &liveMembers{self: self, tier: tier, rejected: rejected, log: log, limiter: newLogLimiter(), changed: changed,
		alive: map[string]liveMember{}, lost: map[string]lostMember{}}
}

// filterLive returns the entries whose observer is live and announced the zone that the entry names. It
// reuses the slice.
func (l *liveMembers) filterLive(entries []state.Entry) []state.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(entries, func(e state.Entry) bool {
		member, live := l.alive[e.Observer]
		return !live || member.zone != e.ObserverZone
	})
}

// NotifyAlive implements memberlist.AliveDelegate. It returns an error to reject a node.
func (l *liveMembers) NotifyAlive(node *memberlist.Node) error {
	if node.Name == l.self {
		return nil
	}
	meta, ok := decodeMeta(node.Meta)
	if !ok || node.Name == "" || len(node.Name) > maxNameBytes || meta.Tier != l.tier {
		l.rejected.add(rejectForeignMember)
		return errForeignMember
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.alive[node.Name]; !known && len(l.alive) >= maxMembers {
		l.rejected.add(rejectTooMany)
		return errTooManyMembers
	}
	return nil
}

// NotifyJoin implements memberlist.EventDelegate: a member is live.
func (l *liveMembers) NotifyJoin(node *memberlist.Node) {
	meta, ok := decodeMeta(node.Meta)
	if node.Name == l.self || !ok {
		return
	}
	member := newLiveMember(node, meta)
	l.mu.Lock()
	l.alive[node.Name] = member
	delete(l.lost, node.Name)
	l.joins++
	liveMembers := 1 + len(l.alive)
	l.mu.Unlock()
	l.logLimited("member joined", "member", member.name, "zone", member.zone, "address", member.address,
		"live_members", liveMembers)
	l.changed()
}

func newLiveMember(node *memberlist.Node, meta memberMeta) liveMember {
	return liveMember{name: node.Name, zone: meta.Zone, address: node.Address()}
}

// NotifyUpdate implements memberlist.EventDelegate: a member announced new metadata, for example after a
// quick restart.
func (l *liveMembers) NotifyUpdate(node *memberlist.Node) {
	meta, ok := decodeMeta(node.Meta)
	if node.Name == l.self || !ok {
		return
	}
	l.mu.Lock()
	l.alive[node.Name] = newLiveMember(node, meta)
	l.mu.Unlock()
	l.changed()
}

// NotifyLeave implements memberlist.EventDelegate: a member left or died.
func (l *liveMembers) NotifyLeave(node *memberlist.Node) {
	if node.Name == l.self {
		return
	}
	left := node.State == memberlist.StateLeft
	l.mu.Lock()
	member, known := l.alive[node.Name]
	delete(l.alive, node.Name)
	if known && !left {
		l.addLost(member)
	}
	l.departures++
	liveMembers := 1 + len(l.alive)
	l.mu.Unlock()
	event := "member died"
	if left {
		event = "member left"
	}
	l.logLimited(event, "member", node.Name, "live_members", liveMembers)
	l.changed()
}

// NotifyConflict implements memberlist.ConflictDelegate: two members have the same name.
func (l *liveMembers) NotifyConflict(existing, other *memberlist.Node) {
	l.rejected.add(rejectNameConflict)
	l.logLimited("member name conflict", "member", existing.Name, "address", existing.Address(),
		"other_address", other.Address())
}

// logLimited logs an event unless too many were logged recently.
func (l *liveMembers) logLimited(event string, args ...any) {
	if suppressed, ok := l.limiter.allow(time.Now()); ok {
		l.log.Info(event, append(args, "suppressed", suppressed)...)
	}
}

// addLost remembers the address of a member that died. At the limit it replaces the member that was lost
// first.
func (l *liveMembers) addLost(member liveMember) {
	if len(l.lost) >= maxLostMembers {
		oldest := ""
		for name, lost := range l.lost {
			if oldest == "" || lost.lostAt.Before(l.lost[oldest].lostAt) {
				oldest = name
			}
		}
		delete(l.lost, oldest)
	}
	l.lost[member.name] = lostMember{member.address, time.Now()}
}

// liveCounts returns how many members are live and how many of them are in a zone. Both include this member,
// whatever the zone.
func (l *liveMembers) liveCounts(zone string) (live, inZone int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	inZone = 1
	for _, member := range l.alive {
		if member.zone == zone {
			inZone++
		}
	}
	return 1 + len(l.alive), inZone
}

// liveCount returns how many members are live, including this one.
func (l *liveMembers) liveCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 1 + len(l.alive)
}

// missingAddresses returns the sorted addresses of seeds and lost members that are not known to be live.
func (l *liveMembers) missingAddresses(seeds []string, now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := map[string]bool{}
	for _, member := range l.alive {
		known[member.address] = true
	}
	var addresses []string
	for _, seed := range seeds {
		if !known[seed] {
			addresses = append(addresses, seed)
		}
	}
	for name, lost := range l.lost {
		switch {
		case now.Sub(lost.lostAt) > lostMemberRetention:
			delete(l.lost, name)
		case !known[lost.address] && !slices.Contains(addresses, lost.address):
			addresses = append(addresses, lost.address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// joinsAndDepartures returns how many members joined and how many left or died since this node was opened.
func (l *liveMembers) joinsAndDepartures() (joins, departures int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.joins, l.departures
}
