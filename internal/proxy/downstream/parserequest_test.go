package downstream

import (
	"net/http"
	"testing"
	"time"

	"merlinpick/balancer"
)

// TestClientTimeoutIsTakenAsStated checks that Request-Timeout-Ms is applied as stated, up to the class's
// deadline, which applies if there is no header.
func TestClientTimeoutIsTakenAsStated(t *testing.T) {
	class := balancer.Class{Deadline: 8_000_000}
	const whole, margin = 8 * time.Second, responseMargin
	const shortMargin = 480 * time.Millisecond / responseMarginDivisor
	for _, c := range []struct {
		name   string
		header []string
		want   time.Duration // -1: an error
	}{
		{"none", nil, whole - margin},
		{"some", []string{"480"}, 480*time.Millisecond - shortMargin},
		{"little", []string{"8"}, 7 * time.Millisecond},
		{"0", []string{"0"}, 0},
		{"negative", []string{"-1"}, 0},
		{"below any integer", []string{"-9999999999999999999999"}, 0},
		{"above the class", []string{"8001"}, whole - margin},
		{"above any integer", []string{"9999999999999999999999"}, whole - margin},
		{"a part of a millisecond", []string{"0.4"}, 0},
		{"milliseconds and a part", []string{"480.7"}, 480*time.Millisecond - shortMargin},
		{"empty", []string{""}, -1},
		{"a word", []string{"soon"}, -1},
		{"a unit", []string{"480ms"}, -1},
		{"not a number", []string{"NaN"}, -1},
	} {
		r := &http.Request{Header: http.Header{}}
		if c.header != nil {
			r.Header["Request-Timeout-Ms"] = c.header
		}
		got, err := clientTimeout(r, class)
		if err != nil {
			got = -1
		}
		if got != c.want {
			t.Errorf("Request-Timeout-Ms %s: got timeout %v, want %v (-1ns: an error)", c.name, got, c.want)
		}
	}
}
