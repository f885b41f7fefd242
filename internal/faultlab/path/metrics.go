package path

import (
	"fmt"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Metrics holds the results of one run of calls. Histograms are in microseconds. A call's duration starts
// when its request is written; the delay until then is in IssueDelay.
type Metrics struct {
	Direct, Proxied *hdrhistogram.Histogram
	IssueDelay      *hdrhistogram.Histogram // from the planned start of a call until its connection was ready
	Failed          int                     // proxied calls without status 200
	Rejected        int                     // of these: 429 or 503
	DirectFailed    int                     // direct calls without status 200
}

func newMetrics() *Metrics {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, 10_000_000, 3) }
	return &Metrics{Direct: histogram(), Proxied: histogram(), IssueDelay: histogram()}
}

func (m *Metrics) record(r callResult, planned time.Time) {
	_ = m.IssueDelay.RecordValue(max(1, r.issued.Sub(planned).Microseconds()))
	failed := r.err != nil || r.status != http.StatusOK
	switch {
	case r.direct && failed:
		m.DirectFailed++
	case r.direct:
		_ = m.Direct.RecordValue(r.duration.Microseconds())
	case failed:
		m.Failed++
		if r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests {
			m.Rejected++
		}
	default:
		_ = m.Proxied.RecordValue(r.duration.Microseconds())
	}
}

// Added returns the latency that the proxy adds at a quantile (0 to 100), in ms: the difference of the two
// quantiles, not a quantile of differences, since each call goes only one of the two ways.
func (m *Metrics) Added(quantile float64) float64 {
	return float64(m.Proxied.ValueAtQuantile(quantile)-m.Direct.ValueAtQuantile(quantile)) / 1000
}

// String returns a summary in one line.
func (m *Metrics) String() string {
	summary := func(h *hdrhistogram.Histogram) string {
		return fmt.Sprintf("%.3f/%.3f/%.3f", float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000, float64(h.Max())/1000)
	}
	return fmt.Sprintf("added p50 %.3f p90 %.3f p99 %.3f ms; proxied p50/p99/max %s of %d, direct %s of %d, issued late %s; "+
		"failed %d (rejected %d), direct %d", m.Added(50), m.Added(90), m.Added(99), summary(m.Proxied),
		m.Proxied.TotalCount(), summary(m.Direct), m.Direct.TotalCount(), summary(m.IssueDelay), m.Failed,
		m.Rejected, m.DirectFailed)
}
