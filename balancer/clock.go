package balancer

// The units of time inside the decisions. What comes in and goes out through the interface is in plain microseconds.

// moment is a time on the clock of events, in µs. Its zero value is "never".
type moment int64

// span is a length of time, in µs.
type span int64

// Units of spans.
const (
	milliseconds span = 1_000
	seconds      span = 1_000_000
)

// add is the moment a span later.
func (m moment) add(s span) moment { return m + moment(s) }

// since is the span from an earlier moment to this one.
func (m moment) since(earlier moment) span { return span(m - earlier) }
