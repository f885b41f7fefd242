package proxy

import "time"

// clock is the balancer's time source, in microseconds. It starts at the Unix time at which the process
// started and then follows the monotonic clock. It can be compared with the Unix times in the endpoint list,
// and steps of the wall clock do not affect it.
type clock struct{ start time.Time }

func (c clock) now() int64           { return c.at(time.Now()) }
func (c clock) at(t time.Time) int64 { return c.start.UnixMicro() + t.Sub(c.start).Microseconds() }
func (c clock) time(micros int64) time.Time {
	return c.start.Add(time.Duration(micros-c.start.UnixMicro()) * time.Microsecond)
}

// timer is an entry in the loop's timer heap. It belongs to the balancer, or to a request whose deadline has
// passed when it fires.
type timer struct {
	dueAt   int64    // on the loop's clock, in microseconds
	token   string   // passed to balancer.HandleTimer, if request is nil
	request *request // nil for a timer of the balancer
}

// timerHeap implements heap.Interface; the timer that fires first is at the top.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
