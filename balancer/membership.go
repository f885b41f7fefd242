package balancer

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// Membership: which servers are listed, which of them may get new attempts, and in which order this replica
// considers them.
//
// Input: the endpoint list, suspended servers and drained zones. Output: the ready servers, this replica's
// subset first. A server that drains, is removed or is suspended leaves them at once.

// Ranks of zones in the order of the ready servers, see locality.rank.
const (
	rankLocal  = 0
	rankRemote = 1
)

// goldenRatioStep is the fraction of the ring between the subsets of two consecutive replicas. Steps of the
// golden ratio spread any number of subsets evenly.
const goldenRatioStep = 0.618034

// membership holds the listed servers.
type membership struct {
	*shared
	byID  map[string]*server
	all   []*server // in the order in which they were first listed
	ring  []*server // the same servers in ring order, kept sorted
	added []*server // listed for the first time and not in ring yet

	suspended    map[string]bool // by operators: server IDs, listed or not
	drainedZones map[int]bool    // by operators

	ready          []*server // servers that may get new attempts, see order
	localCount     int       // ready[:localCount] are local
	reachableCount int       // ready[reachableCount:] are in evacuated zones
}

func newMembership(common *shared) *membership {
	return &membership{shared: common, byID: map[string]*server{}}
}

// replaceAll begins a complete list: servers for which no upsert follows are removed.
func (m *membership) replaceAll() {
	for _, server := range m.all {
		server.State = ServerRemoved
	}
}

// upsert adds or updates the server of one entry of a list. What was learned about the server is discarded if
// the entry is of another process.
func (m *membership) upsert(entry Server) {
	server := m.byID[entry.ID]
	if server == nil {
		server = m.add(entry.ID)
	}
	if server.StartTime != entry.StartTime {
		server.resetLearned(len(m.classes))
	}
	server.Server = entry
}

// add adds a server that is listed for the first time.
func (m *membership) add(id string) *server {
	server := &server{Server: Server{ID: id}, hash: hashID(id)}
	server.resetLearned(len(m.classes))
	m.byID[id] = server
	m.all = append(m.all, server)
	m.added = append(m.added, server)
	return server
}

// setSuspended suspends exactly these servers. A server that is resumed starts without history, with a trial
// call.
func (m *membership) setSuspended(ids map[string]bool) {
	before := m.suspended
	m.suspended = ids
	for _, server := range m.all {
		if before[server.ID] && !ids[server.ID] {
			server.resetLearned(len(m.classes))
			server.trialPending = true
		}
	}
}

// setDrained drains exactly these zones and returns those that were drained before.
func (m *membership) setDrained(zones map[int]bool) (before map[int]bool) {
	before, m.drainedZones = m.drainedZones, zones
	return before
}

// rebuildReady deletes removed servers and collects the ready ones. rank orders zones, see order; it is nil
// while zones are not tracked.
func (m *membership) rebuildReady(rank func(zone int) int) {
	m.all = slices.DeleteFunc(m.all, func(s *server) bool {
		if s.State == ServerRemoved {
			delete(m.byID, s.ID)
		}
		return s.State == ServerRemoved
	})
	m.updateRing()
	m.ready = m.ready[:0]
	for _, server := range m.ring {
		if server.State == ServerReady && !m.suspended[server.ID] && !m.drainedZones[server.Zone] {
			m.ready = append(m.ready, server)
		}
	}
	m.order(rank)
}

// updateRing removes servers from the ring that are no longer listed, and merges added ones into it. Sorting
// some thousand servers at each change would take too long.
func (m *membership) updateRing() {
	removed := func(s *server) bool { return s.State == ServerRemoved }
	m.ring = slices.DeleteFunc(m.ring, removed)
	added := slices.DeleteFunc(m.added, removed)
	if m.added = nil; len(added) == 0 {
		return
	}
	slices.SortFunc(added, ringOrder)
	ring := make([]*server, 0, len(m.ring)+len(added))
	for _, server := range m.ring {
		for len(added) > 0 && ringOrder(added[0], server) < 0 {
			ring, added = append(ring, added[0]), added[1:]
		}
		ring = append(ring, server)
	}
	m.ring = append(ring, added...)
}

// order sorts the ready servers in the order in which this replica considers them: along the ring from a
// start that depends on the replica, so that replicas spread evenly over the servers, and then by the rank of
// their zones.
func (m *membership) order(rank func(zone int) int) {
	_, position := math.Modf(float64(m.settings.ReplicaIndex) * goldenRatioStep)
	first := int(position * float64(len(m.ready)))
	m.ready = slices.Concat(m.ready[first:], m.ready[:first])
	m.localCount, m.reachableCount = len(m.ready), len(m.ready)
	if rank == nil {
		return
	}
	slices.SortStableFunc(m.ready, func(x, y *server) int { return rank(x.Zone) - rank(y.Zone) })
	m.localCount, m.reachableCount = 0, 0
	for _, server := range m.ready {
		m.localCount += int(indicator(rank(server.Zone) == rankLocal))
		m.reachableCount += int(indicator(rank(server.Zone) <= rankRemote))
	}
}

// local returns the ready servers of the local zone; all ready servers while zones are not tracked.
func (m *membership) local() []*server { return m.ready[:m.localCount] }

// remote returns the ready servers of other zones that are not evacuated.
func (m *membership) remote() []*server { return m.ready[m.localCount:m.reachableCount] }

// evacuated returns the ready servers of evacuated zones.
func (m *membership) evacuated() []*server { return m.ready[m.reachableCount:] }

// readyIn returns the ready servers of a zone.
func (m *membership) readyIn(zone int) (servers []*server) {
	for _, server := range m.ready {
		if server.Zone == zone {
			servers = append(servers, server)
		}
	}
	return servers
}

// counts returns how many servers are listed, and how many of them are suspended, damped or unhealthy by this
// replica's own calls. The counts are for metrics only.
func (m *membership) counts() (listed, avoided int) {
	for _, server := range m.all {
		unhealthy := server.damping.active || server.outlier.overall.score < healthyScore
		if m.suspended[server.ID] || server.State == ServerReady && unhealthy {
			avoided++
		}
	}
	return len(m.all), avoided
}

// ringOrder compares two servers by their order on the ring. The order is by a hash of the IDs, so that it is
// the same at every replica and does not depend on the meaning of IDs.
func ringOrder(x, y *server) int {
	return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.ID, y.ID))
}

// hashID returns the position of a server on the ring.
func hashID(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id)) // never fails
	return h.Sum64()
}
