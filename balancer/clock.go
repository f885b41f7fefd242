package balancer

// The time types of the decision logic. The public interface uses plain integers in microseconds instead.

// moment is a point in time on the event clock, in µs. Its zero value means "never".
type moment int64

// span is a duration, in µs.
type span int64

// Units of spans.
const (
	milliseconds span = 1_000
	seconds      span = 1_000_000
)

// add returns the moment that is s later.
func (m moment) add(s span) moment { return m + moment(s) }

// since returns the time that has passed from an earlier moment to this one.
func (m moment) since(earlier moment) span { return span(m - earlier) }
