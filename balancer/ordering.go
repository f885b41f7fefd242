package balancer

// turn is the line of one key's requests in the order of their arrival.
type keyQueue struct {
	key       string
	waiting   []*request // the first is the one whose turn it is
	restUntil int64      // until then the key rests
}

// join puts a request last in its key's line.
func (b *Balancer) join(q *request) {
	q.queue = b.turns[q.Key]
	if q.queue == nil {
		q.queue = &keyQueue{key: q.Key}
		b.turns[q.Key] = q.queue
	}
	q.queue.waiting = append(q.queue.waiting, q)
}

// tidy forgets a key that nobody waits for and that rests no more.
func (b *Balancer) tidy(now int64, t *keyQueue) {
	if len(t.waiting) == 0 && now >= t.restUntil {
		delete(b.turns, t.key)
	}
}
