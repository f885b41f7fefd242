package balancer

import "slices"

// Ordering: requests of an Ordered class with the same key run one at a time, in the order in which they were
// received.
//
// Input: requests, their ends, and attempts that may still be running. Output: which request of a key may
// start now, and how long another may wait in the queue of its key.

// Prefixes of timer tokens. A request ID or a key follows. The host returns tokens unchanged.
const (
	queueTimeoutTimer = "held " // the maximum wait of a queued request has passed
	cooldownTimer     = "turn " // the cool-down of a key has ended
)

// keyQueue holds the open requests of one key in the order in which they were received.
type keyQueue struct {
	key           string
	waiting       []*request // only the first may run
	cooldownUntil moment     // no request starts before, since an attempt may still be running
}

// next returns the request that may start now, or nil if there is none.
func (q *keyQueue) next(now moment) *request {
	if len(q.waiting) == 0 || len(q.waiting[0].attempts) > 0 || now < q.cooldownUntil {
		return nil
	}
	return q.waiting[0]
}

// ordering holds the queues by key.
type ordering struct{ queues map[string]*keyQueue }

// newOrdering returns an ordering without queues.
func newOrdering() *ordering { return &ordering{queues: map[string]*keyQueue{}} }

// isOrdered reports whether a request has to wait for earlier requests with its key.
func (o *ordering) isOrdered(request *request) bool {
	return request.Key != "" && request.classRules().Ordered
}

// join appends a request to the queue of its key.
func (o *ordering) join(request *request) {
	request.queue = o.queues[request.Key]
	if request.queue == nil {
		request.queue = &keyQueue{key: request.Key}
		o.queues[request.Key] = request.queue
	}
	request.queue.waiting = append(request.queue.waiting, request)
}

// leave removes a finished request from its queue.
func (o *ordering) leave(done *request) {
	queue := done.queue
	queue.waiting = slices.DeleteFunc(queue.waiting, func(other *request) bool { return other == done })
}

// discardIdle discards a queue that holds no requests and whose cool-down is over.
func (o *ordering) discardIdle(now moment, queue *keyQueue) {
	if len(queue.waiting) == 0 && now >= queue.cooldownUntil {
		delete(o.queues, queue.key)
	}
}

// maxWait returns how long, in µs, the last request of a queue may wait. latest is the time from now, in
// µs, by which that request has to be sent, and mean is the mean latency of its class, in µs. ok is false
// if the requests before it are expected to take longer than latest, which also bounds the length of the
// queue.
func (q *keyQueue) maxWait(latest, mean float64) (wait int64, ok bool) {
	if float64(len(q.waiting)-1)*mean > latest {
		return 0, false
	}
	return max(int64(latest), 0), true
}

// startCooldown blocks a queue after an attempt that may still be running. It returns the duration in µs.
func (q *keyQueue) startCooldown(now moment, settings *Settings) (delay int64) {
	q.cooldownUntil = now.add(span(settings.OrderingCooldown))
	return settings.OrderingCooldown
}

// mayStillRun reports whether a server may still be working on an attempt that ended with status.
func mayStillRun(status Status) bool {
	return status == StatusTimedOut || status == StatusReset || status == StatusCancelled
}
