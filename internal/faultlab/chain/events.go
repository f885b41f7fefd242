package chain

// event is a call at a time. Events at the same time run in the order in which they were scheduled.
type event struct {
	time     int64
	sequence int64
	run      func()
}

// events is a heap of events, for container/heap.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less orders events by time, then by the order in which they were scheduled.
func (e events) Less(i, j int) bool {
	return e[i].time < e[j].time || e[i].time == e[j].time && e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
