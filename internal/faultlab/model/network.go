package model

import "math/rand/v2"

// One-way delays in microseconds, without jitter. delayFar is the delay between sites some hundred kilometres
// apart.
const (
	delayZone   = 200     // within a zone
	delayRegion = 1 * ms  // between zones of a region
	delayFar    = 12 * ms // between regions
	jitter      = 1.0     // fraction of the delay, at most
)

// network determines whether, and with what delay, messages pass between zones.
type network struct {
	zones        int
	regions      int
	random       *rand.Rand
	cutRequests  []int // active cuts of connections and requests, by from and to
	cutResponses []int // the same for responses
	cutGossip    []int // the same for gossip
	gossipLoss   float64
	gossipDelay  int64 // additional delay of gossip packets, at most
}

func newNetwork(c *Config) network {
	return network{zones: c.Zones, regions: c.Regions, random: source(c.Seed, streamLinks),
		gossipLoss: c.Loss, cutRequests: make([]int, c.Zones*c.Zones),
		cutResponses: make([]int, c.Zones*c.Zones), cutGossip: make([]int, c.Zones*c.Zones)}
}

func (n *network) region(zone int) int { return zone * n.regions / n.zones }

// delay returns a one-way delay with jitter.
func (n *network) delay(from, to int) int64 {
	d := int64(delayZone)
	if n.region(from) != n.region(to) {
		d = delayFar
	} else if from != to {
		d = delayRegion
	}
	return d + int64(n.random.Float64()*jitter*float64(d))
}

func (n *network) passesRequests(from, to int) bool  { return n.cutRequests[from*n.zones+to] == 0 }
func (n *network) passesResponses(from, to int) bool { return n.cutResponses[from*n.zones+to] == 0 }
func (n *network) passesGossip(from, to int) bool    { return n.cutGossip[from*n.zones+to] == 0 }

// gossipDelivery draws whether a gossip packet is delivered, and its delay.
func (n *network) gossipDelivery(from, to int, chance *rand.Rand) (delay int64, ok bool) {
	lost, late := chance.Float64(), chance.Float64()
	return n.delay(from, to) + int64(late*float64(n.gossipDelay)), n.passesGossip(from, to) && lost >= n.gossipLoss
}
