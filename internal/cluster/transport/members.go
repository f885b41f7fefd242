package transport

import (
	"errors"
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
	maxMembers          = 1024 // that a link knows of at one time
	maxNameBytes        = 64   // bytes of a member's name, and of its zone's and tier's
	maxLostMembers      = 64   // members that died and are tried again
	lostMemberRetention = 10 * time.Minute
)

// meta is what each member tells of itself with its address.
type memberMeta struct {
	Version     int    `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Tier        string `cbor:"3,keyasint"`
	StartedAtMs int64  `cbor:"4,keyasint"` // of its process, Unix milliseconds
}

func (m memberMeta) encode(limit int) []byte {
	b, err := cbor.Marshal(m)
	if err != nil || len(b) > limit { // names are bounded: it does not happen
		return nil
	}
	return b
}

// readMeta reads what a member told of itself; false for what makes no sense. A newer version may tell more.
func decodeMeta(b []byte) (memberMeta, bool) {
	var m memberMeta
	if len(b) > memberlist.MetaMaxSize || cbor.Unmarshal(b, &m) != nil {
		return memberMeta{}, false
	}
	return m, m.Version >= metaVersion && len(m.Zone) <= maxNameBytes && len(m.Tier) <= maxNameBytes
}

// Member is another proxy that is alive, as far as is known.
type Member struct {
	Name, Zone, Addr string
	StartedAtMs      int64 // of its process, Unix milliseconds
}

// members follows who is alive. Memberlist calls it while it holds a lock of its own, so it calls nobody.
type memberList struct {
	self    string
	tier    string
	refused *rejections
	log     *slog.Logger
	says    *logLimiter
	changed func()

	mu    sync.Mutex
	alive map[string]Member
	lost  map[string]lostMember // died without a word
	joins int64
	ends  int64
}

type lostMember struct {
	addr string
	at   time.Time
}

func newMemberList(self, tier string, refused *rejections, log *slog.Logger, changed func()) *memberList {
	return &memberList{self: self, tier: tier, refused: refused, log: log, says: newLogLimiter(), changed: changed,
		alive: map[string]Member{}, lost: map[string]lostMember{}}
}

var (
	errStranger = errors.New("it is no member of this tier's fleet, or tells of itself what makes no sense")
	errCrowd    = errors.New("the fleet has as many members as are followed")
)

// tell gives the entries of members that are alive and say of which zone they are as they do with their address. What a
// member told before it left or died is not acted on, nor is what a stranger's name is on.
func (m *memberList) ofLiveMembers(entries []state.Entry) []state.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(entries, func(e state.Entry) bool {
		x, alive := m.alive[e.Observer]
		return !alive || x.Zone != e.ObserverZone
	})
}

// NotifyAlive implements memberlist.AliveDelegate: an error keeps a node out.
func (m *memberList) NotifyAlive(n *memberlist.Node) error {
	if n.Name == m.self {
		return nil
	}
	told, ok := decodeMeta(n.Meta)
	if !ok || n.Name == "" || len(n.Name) > maxNameBytes || told.Tier != m.tier {
		m.refused.add("member")
		return errStranger
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.alive[n.Name]; !known && len(m.alive) >= maxMembers {
		m.refused.add(rejectMany)
		return errCrowd
	}
	return nil
}

// NotifyJoin implements memberlist.EventDelegate.
func (m *memberList) NotifyJoin(n *memberlist.Node) {
	if n.Name == m.self {
		return
	}
	told, ok := decodeMeta(n.Meta)
	if !ok {
		return
	}
	x := Member{Name: n.Name, Zone: told.Zone, StartedAtMs: told.StartedAtMs, Addr: n.Address()}
	m.mu.Lock()
	m.alive[n.Name] = x
	delete(m.lost, n.Name)
	m.joins++
	living := 1 + len(m.alive)
	m.mu.Unlock()
	m.say("fleet member joined", "member", x.Name, "zone", x.Zone, "address", x.Addr, "living", living)
	m.changed()
}

// NotifyUpdate implements memberlist.EventDelegate: a member told of itself anew, as after a quick restart.
func (m *memberList) NotifyUpdate(n *memberlist.Node) {
	told, ok := decodeMeta(n.Meta)
	if n.Name == m.self || !ok {
		return
	}
	m.mu.Lock()
	m.alive[n.Name] = Member{Name: n.Name, Zone: told.Zone, StartedAtMs: told.StartedAtMs, Addr: n.Address()}
	m.mu.Unlock()
	m.changed()
}

// NotifyLeave implements memberlist.EventDelegate: a member left, or is dead.
func (m *memberList) NotifyLeave(n *memberlist.Node) {
	if n.Name == m.self {
		return
	}
	left := n.State == memberlist.StateLeft
	m.mu.Lock()
	x, known := m.alive[n.Name]
	delete(m.alive, n.Name)
	if known && !left {
		m.lose(x)
	}
	m.ends++
	living := 1 + len(m.alive)
	m.mu.Unlock()
	m.say("fleet member gone", "member", n.Name, "left", left, "living", living)
	m.changed()
}

func (m *memberList) say(text string, args ...any) {
	if quiet, ok := m.says.allow(time.Now()); ok {
		m.log.Info(text, append(args, "left_out", quiet)...)
	}
}

// lose keeps the address of one that died, in the place of the one lost for the longest if there are many.
func (m *memberList) lose(x Member) {
	if len(m.lost) >= maxLostMembers {
		oldest := ""
		for name, l := range m.lost {
			if oldest == "" || l.at.Before(m.lost[oldest].at) {
				oldest = name
			}
		}
		delete(m.lost, oldest)
	}
	m.lost[x.Name] = lostMember{x.Addr, time.Now()}
}

// NotifyConflict implements memberlist.ConflictDelegate: two members bear one name.
func (m *memberList) NotifyConflict(existing, other *memberlist.Node) {
	m.refused.add("name")
	m.say("two fleet members of one name", "name", existing.Name, "one", existing.Address(), "other", other.Address())
}

// count tells how many are alive, and of them in a zone, this one included.
func (m *memberList) count(zone string) (living, near int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	near = 1
	for _, x := range m.alive {
		if x.Zone == zone {
			near++
		}
	}
	return 1 + len(m.alive), near
}

// living tells how many are alive, this one included.
func (m *memberList) living() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return 1 + len(m.alive)
}

// missing are addresses where a member may be that this one does not know to be alive: seeds, and those that died.
func (m *memberList) missing(seeds []string, now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := map[string]bool{}
	for _, x := range m.alive {
		known[x.Addr] = true
	}
	var out []string
	for _, s := range seeds {
		if !known[s] {
			out = append(out, s)
		}
	}
	for name, l := range m.lost {
		switch {
		case now.Sub(l.at) > lostMemberRetention:
			delete(m.lost, name)
		case !known[l.addr] && !slices.Contains(out, l.addr):
			out = append(out, l.addr)
		}
	}
	slices.Sort(out)
	return out
}

// moved tells how often members came and went so far.
func (m *memberList) moved() (joins, ends int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joins, m.ends
}
