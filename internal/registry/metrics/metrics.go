// Package figures is the address of a member's figures, for Prometheus, and of its readiness.
package metrics

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"merlinpick/internal/listener"
	"merlinpick/internal/registry/api"
	"merlinpick/internal/registry/raftnode"
)

const headerTimeout = 5 * time.Second

// Server answers GET /metrics, /readyz (the list is served) and /livez.
type Server struct {
	listener net.Listener
	http     *http.Server
	node     atomic.Pointer[raftnode.Node]
	api      *api.Server
}

// Listen opens the address; Serve answers there, until Open for a member that waits.
func Listen(addr string, a *api.Server, log *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for figures: %w", err)
	}
	s := &Server{listener: listener.Retry(l, log), api: a}
	all := prometheus.NewRegistry()
	all.MustRegister(s, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(all, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "yes") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if m := s.node.Load(); m != nil && m.Serving() {
			fmt.Fprintln(w, "yes")
			return
		}
		http.Error(w, "the list is not served: this member has no leader, or waits for the others", http.StatusServiceUnavailable)
	})
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, WriteTimeout: 2 * headerTimeout}
	return s, nil
}

// Addr is the address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Open has it show a member.
func (s *Server) SetNode(m *raftnode.Node) { s.node.Store(m) }

// Serve answers until End.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// End ends it.
func (s *Server) Close() { _ = s.http.Shutdown(context.Background()) }

func desc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("roster_"+name, help, nil, nil)
}

var (
	listVersion         = desc("index", "Newest version of the list on this member.")
	endpoints           = desc("nodos", "Nodos in the list.")
	isLeader            = desc("leads", "1 if this member leads.")
	serving             = desc("serving", "1 if the list is told: it was proved current lately enough.")
	listAge             = desc("age_seconds", "Since the list was last proved current; -1 if never.")
	term                = desc("term", "The consensus's term.")
	abstains            = desc("abstains", "1 if this member lost its directory and does not vote until it has caught up.")
	heldLeases          = desc("leases_overdue", "Leases that are over and whose nodos are held, on the leader.")
	heldZones           = desc("zones_held", "Zones in which too many leases ended together, on the leader.")
	expiredLeases       = desc("leases_ended_total", "Leases that ended since this member leads.")
	watches             = desc("watches", "Watches that are held.")
	calls               = desc("calls_total", "Calls.")
	callsRejected       = desc("calls_turned_total", "Calls answered 503.")
	snapshotResponses   = desc("answers_whole_total", "Answers with the whole list.")
	changeResponses     = desc("answers_changes_total", "Answers with changes, perhaps none.")
	callsForwarded      = desc("calls_passed_total", "Calls passed on to the leader.")
	configurations      = desc("configurations", "Configurations of services that are kept.")
	proxyReports        = desc("config_words", "Proxies that have told this member what they have in force.")
	proxyReportsDropped = desc("config_words_dropped_total", "Words for which there was no room.")
	responsesEncoded    = desc("encoded_total", "Answers encoded: callers at one version share one.")
)

// Describe implements prometheus.Collector.
func (s *Server) Describe(to chan<- *prometheus.Desc) { prometheus.DescribeByCollect(s, to) }

// Collect implements prometheus.Collector.
func (s *Server) Collect(to chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64) { to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v) }
	count := func(d *prometheus.Desc, v int64) {
		to <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v))
	}
	is := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	var st raftnode.Status
	if m := s.node.Load(); m != nil {
		st = m.Status()
		count(responsesEncoded, m.Watches().Encoded())
	} else {
		st = raftnode.WaitingStatus("")
		count(responsesEncoded, 0)
	}
	gauge(listVersion, float64(st.Version))
	gauge(endpoints, float64(st.Endpoints))
	gauge(isLeader, is(st.Role == "leader"))
	gauge(serving, is(st.Serving))
	if st.AgeMs < 0 {
		gauge(listAge, -1)
	} else {
		gauge(listAge, float64(st.AgeMs)/1000)
	}
	gauge(term, float64(st.Term))
	gauge(abstains, is(st.Abstains))
	gauge(heldLeases, float64(st.HeldLeases))
	gauge(heldZones, float64(st.HeldZones))
	count(expiredLeases, st.ExpiredLeases)
	f := s.api.Metrics()
	gauge(watches, float64(f.Watches))
	count(calls, f.Calls)
	count(callsRejected, f.Rejected)
	count(snapshotResponses, f.Snapshots)
	count(changeResponses, f.Changes)
	count(callsForwarded, f.Forwarded)
	gauge(configurations, float64(st.Configurations))
	gauge(proxyReports, float64(f.ProxyReports))
	count(proxyReportsDropped, f.ProxyReportsDropped)
}
