package balancer

import "slices"

// Ordering: requests of an Ordered class with the same key run one at a time, as they were received.
//
// Input: requests, their ends, and attempts that may still run. Output: which request of a key may start now,
// and how long another may wait in its key's queue.

// Timer tokens: the prefix, then a request's ID or a key. The host returns tokens unchanged.
const (
	queueTimeoutTimer = "held " // a request has waited in its queue for as long as it can
	cooldownTimer     = "turn " // a key's cool-down has ended
)

// keyQueue holds the open requests of one key in the order in which they were received.
type keyQueue struct {
	key       string
	waiting   []*request // the first is the one that may run
	coolUntil moment     // none starts before, as an attempt may still run
}

// next is the request that may start now, nil if there is none.
func (q *keyQueue) next(now moment) *request {
	if len(q.waiting) == 0 || len(q.waiting[0].attempts) > 0 || now < q.coolUntil {
		return nil
	}
	return q.waiting[0]
}

// ordering holds the queues by key.
type ordering struct{ queues map[string]*keyQueue }

func newOrdering() *ordering { return &ordering{queues: map[string]*keyQueue{}} }

// isOrdered reports whether a request has to wait for its predecessors.
func (o *ordering) isOrdered(request *request) bool {
	return request.Key != "" && request.classRules().Ordered
}

// join puts a request last in its key's queue.
func (o *ordering) join(request *request) {
	request.queue = o.queues[request.Key]
	if request.queue == nil {
		request.queue = &keyQueue{key: request.Key}
		o.queues[request.Key] = request.queue
	}
	request.queue.waiting = append(request.queue.waiting, request)
}

// leave takes a request that is over out of its queue.
func (o *ordering) leave(done *request) {
	queue := done.queue
	queue.waiting = slices.DeleteFunc(queue.waiting, func(other *request) bool { return other == done })
}

// discardIdle forgets a queue that holds no request and whose cool-down is over.
func (o *ordering) discardIdle(now moment, queue *keyQueue) {
	if len(queue.waiting) == 0 && now >= queue.coolUntil {
		delete(o.queues, queue.key)
	}
}

// maxWait is how long, in µs, the last request of a queue may wait; latest is the time, in µs from now,
// after which it could no longer be answered. ok is false where the requests before it need longer by the
// class's mean latency, in µs. This also bounds the queue.
func (q *keyQueue) maxWait(latest, mean float64) (wait int64, ok bool) {
	if float64(len(q.waiting)-1)*mean > latest {
		return 0, false
	}
	return max(int64(latest), 0), true
}

// startCooldown holds a queue after an attempt that may still run. It returns for how long, in µs.
func (q *keyQueue) startCooldown(now moment, settings *Settings) (delay int64) {
	q.coolUntil = now.add(span(settings.OrderingCooldown))
	return settings.OrderingCooldown
}

// mayStillRun reports whether a server may go on with an attempt that ended so.
func mayStillRun(status Status) bool {
	return status == StatusTimedOut || status == StatusReset || status == StatusCancelled
}
