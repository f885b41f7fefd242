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
	protocol    = 1
	membersMost = 1024 // that a link knows of at one time
	nameMost    = 64   // bytes of a member's name, and of its zone's and tier's
	lostMost    = 64   // members that died and are tried again
	lostFor     = 10 * time.Minute
)

// meta is what each member tells of itself with its address.
type meta struct {
	Version int    `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Tier    string `cbor:"3,keyasint"`
	Start   int64  `cbor:"4,keyasint"` // of its process, Unix milliseconds
}

func (m meta) encode(limit int) []byte {
	b, err := cbor.Marshal(m)
	if err != nil || len(b) > limit { // names are bounded: it does not happen
		return nil
	}
	return b
}

// readMeta reads what a member told of itself; false for what makes no sense. A newer version may tell more.
func readMeta(b []byte) (meta, bool) {
	var m meta
	if len(b) > memberlist.MetaMaxSize || cbor.Unmarshal(b, &m) != nil {
		return meta{}, false
	}
	return m, m.Version >= protocol && len(m.Zone) <= nameMost && len(m.Tier) <= nameMost
}

// Member is another proxy that is alive, as far as is known.
type Member struct {
	Name, Zone, Addr string
	StartedAtMs      int64 // of its process, Unix milliseconds
}

// members follows who is alive. Memberlist calls it while it holds a lock of its own, so it calls nobody.
type members struct {
	self    string
	tier    string
	refused *tally
	log     *slog.Logger
	says    *budget
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

func newMembers(self, tier string, refused *tally, log *slog.Logger, changed func()) *members {
	return &members{self: self, tier: tier, refused: refused, log: log, says: newBudget(), changed: changed,
		alive: map[string]Member{}, lost: map[string]lostMember{}}
}

var (
	errStranger = errors.New("it is no member of this tier's fleet, or tells of itself what makes no sense")
	errCrowd    = errors.New("the fleet has as many members as are followed")
)

// tell gives the entries of members that are alive and say of which zone they are as they do with their address. What a
// member told before it left or died is not acted on, nor is what a stranger's name is on.
func (m *members) tell(entries []state.Entry) []state.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(entries, func(e state.Entry) bool {
		x, alive := m.alive[e.Observer]
		return !alive || x.Zone != e.ObserverZone
	})
}

// NotifyAlive implements memberlist.AliveDelegate: an error keeps a node out.
func (m *members) NotifyAlive(n *memberlist.Node) error {
	if n.Name == m.self {
		return nil
	}
	told, ok := readMeta(n.Meta)
	if !ok || n.Name == "" || len(n.Name) > nameMost || told.Tier != m.tier {
		m.refused.add("member")
		return errStranger
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.alive[n.Name]; !known && len(m.alive) >= membersMost {
		m.refused.add(tooMany)
		return errCrowd
	}
	return nil
}

// NotifyJoin implements memberlist.EventDelegate.
func (m *members) NotifyJoin(n *memberlist.Node) {
	if n.Name == m.self {
		return
	}
	told, ok := readMeta(n.Meta)
	if !ok {
		return
	}
	x := Member{Name: n.Name, Zone: told.Zone, StartedAtMs: told.Start, Addr: n.Address()}
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
func (m *members) NotifyUpdate(n *memberlist.Node) {
	told, ok := readMeta(n.Meta)
	if n.Name == m.self || !ok {
		return
	}
	m.mu.Lock()
	m.alive[n.Name] = Member{Name: n.Name, Zone: told.Zone, StartedAtMs: told.Start, Addr: n.Address()}
	m.mu.Unlock()
	m.changed()
}

// NotifyLeave implements memberlist.EventDelegate: a member left, or is dead.
func (m *members) NotifyLeave(n *memberlist.Node) {
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

func (m *members) say(text string, args ...any) {
	if quiet, ok := m.says.may(time.Now()); ok {
		m.log.Info(text, append(args, "left_out", quiet)...)
	}
}

// lose keeps the address of one that died, in the place of the one lost for the longest if there are many.
func (m *members) lose(x Member) {
	if len(m.lost) >= lostMost {
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
func (m *members) NotifyConflict(existing, other *memberlist.Node) {
	m.refused.add("name")
	m.say("two fleet members of one name", "name", existing.Name, "one", existing.Address(), "other", other.Address())
}

// count tells how many are alive, and of them in a zone, this one included.
func (m *members) count(zone string) (living, near int) {
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
func (m *members) living() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return 1 + len(m.alive)
}

// missing are addresses where a member may be that this one does not know to be alive: seeds, and those that died.
func (m *members) missing(seeds []string, now time.Time) []string {
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
		case now.Sub(l.at) > lostFor:
			delete(m.lost, name)
		case !known[l.addr] && !slices.Contains(out, l.addr):
			out = append(out, l.addr)
		}
	}
	slices.Sort(out)
	return out
}

// moved tells how often members came and went so far.
func (m *members) moved() (joins, ends int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joins, m.ends
}
