package logic

// Which server a call goes to.

import "math"

const (
	heldPower  = 8.0  // how sharply a weight falls with the calls of this copy that its server holds
	triedPart  = 1e-6 // weight left to a server that the request has tried, for when there is no other
	riskPart   = 0.2  // of the trials of a silent server go on with calls that cannot be made again
	wellPart   = 0.5  // of its health left: a server below it only gets trials
	coldMargin = 0.6  // part of its least capacity that a cold server is given
)

// draw picks a ready server of this copy's subset at random by weight; those tried before come last. The
// subset grows where it has too few warm and healthy servers, or none that the request may go to. A server
// that is back from a ban gets the first call that may go there: it may be cold, in another zone or outside
// the subset, and who called it back wants to see it serve.
func (b *Balancer) draw(now int64, q *request) *server {
	for _, s := range b.ready {
		if s.owed && b.mayGo(now, q, s) {
			s.owed = false
			return s
		}
	}
	if s := b.trial(now, q); s != nil {
		return s
	}
	b.drawn, b.weights = b.drawn[:0], b.weights[:0]
	total, best, room := 0.0, 0.0, b.subset(now)
	beyond := max(1, room*b.beyond())
	for i := 0; i < len(b.ready); i++ {
		if i < b.near && room <= 0 && total > 0 {
			i = b.near
		}
		if i == b.near && b.homeCopes() && total > 0 {
			room = 1
		} else if i == b.near {
			room = max(room, beyond)
		}
		if i == b.far {
			room = 0
		}
		if i == len(b.ready) || room <= 0 && total > 0 {
			break
		}
		s := b.ready[i]
		room -= s.healthFor(q.Class) * b.warmth(now, s)
		w := 0.0
		if b.mayGo(now, q, s) {
			w = b.weigh(now, s, q.Class)
		}
		if q.tried(s) {
			w *= triedPart
		}
		total += w
		if s.healthFor(q.Class) >= wellPart {
			best = max(best, w)
		}
		b.drawn, b.weights = append(b.drawn, s), append(b.weights, w)
	}
	// One that fails fast holds few calls, and these weigh heavily: by that alone it would draw the most. Its
	// trials are a part of what goes to those that are well.
	for i, s := range b.drawn {
		part, unsafe := s.healthFor(q.Class), q.s.Classes[q.Class].Repeat == Unsafe
		if unsafe && (s.damped || s.whole.left*s.told < wellPart) {
			part *= riskPart
		}
		if over := b.weights[i] - part*best; best > 0 && part < wellPart && over > 0 {
			total, b.weights[i] = total-over, part*best
		}
	}
	return b.pick(b.rnd.Float64() * total)
}

// weigh is a server's weight in the draw: its size, what was learned of it, its age, its zone, and the calls
// of this copy that it already holds.
func (b *Balancer) weigh(now int64, s *server, class int) float64 {
	w := max(healthFloor, s.healthFor(class)) / (s.slowness * s.slowness) * b.warmth(now, s)
	w /= math.Pow(float64(1+s.inflight), heldPower)
	w *= s.tuned
	if b.s.SizeHints && s.Size > 0 {
		w *= s.Size
	}
	if s.Zone != b.s.Zone { // calls stay at home while home copes
		w *= b.beyond()
	}
	if z := b.zone(s.Zone); z != nil && z.Standing != Away { // one that is away comes last anyway
		w *= z.Share
	}
	return w
}

// warmth guards against pushing a cold server over (rule 4): its weight is under the least capacity that
// a server of its age has.
func (b *Balancer) warmth(now int64, s *server) float64 {
	age := now - s.Launched
	if s.Launched == 0 || age >= b.s.Cold {
		return 1
	}
	part := float64(max(age, 0)) / float64(b.s.Cold)
	margin := coldMargin
	if b.shared { // the other process sends there too
		margin /= 2
	}
	return margin * (b.s.StartCapacity + (1-b.s.StartCapacity)*part)
}
