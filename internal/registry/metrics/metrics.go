// Package metrics serves a member's metrics, for Prometheus, and its liveness and readiness. It maps the
// published metric names, some of which are older than the terms in the code, to the member's values.
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

// Server serves GET /metrics, /livez (the process runs) and /readyz (the member serves the list).
type Server struct {
	listener net.Listener
	http     *http.Server
	node     atomic.Pointer[raftnode.Node]
	api      *api.Server
}

// Listen opens the address, HOST:PORT, for Serve. Until SetNode, the member is reported as not ready.
func Listen(address string, apiServer *api.Server, logger *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for metrics: %w", err)
	}
	s := &Server{listener: listener.Retry(l, logger), api: apiServer}
	registry := prometheus.NewRegistry()
	registry.MustRegister(s, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "yes") })
	mux.HandleFunc("GET /readyz", s.ready)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, WriteTimeout: 2 * headerTimeout}
	return s, nil
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if node := s.node.Load(); node != nil && node.Serving() {
		fmt.Fprintln(w, "yes")
		return
	}
	http.Error(w, "the list is not served: this member has no leader, or waits for the others",
		http.StatusServiceUnavailable)
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetNode sets the node whose metrics and readiness the server reports.
func (s *Server) SetNode(node *raftnode.Node) { s.node.Store(node) }

// Serve serves requests until Close.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close stops listening and waits for the requests in flight.
func (s *Server) Close() { _ = s.http.Shutdown(context.Background()) }

// desc returns a metric's description. Names and help texts are published and keep their older terms.
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
	status, encoded := raftnode.WaitingStatus(""), int64(0)
	if node := s.node.Load(); node != nil {
		status, encoded = node.Status(), node.Watches().Encoded()
	}
	collectStatus(to, status)
	count(to, responsesEncoded, encoded)
	m := s.api.Metrics()
	gauge(to, watches, float64(m.Watches))
	count(to, calls, m.Calls)
	count(to, callsRejected, m.Rejected)
	count(to, snapshotResponses, m.Snapshots)
	count(to, changeResponses, m.Changes)
	count(to, callsForwarded, m.Forwarded)
	gauge(to, proxyReports, float64(m.ProxyReports))
	count(to, proxyReportsDropped, m.ProxyReportsDropped)
}

func collectStatus(to chan<- prometheus.Metric, status raftnode.Status) {
	gauge(to, listVersion, float64(status.Version))
	gauge(to, endpoints, float64(status.Endpoints))
	gauge(to, isLeader, boolToFloat(status.Role == "leader"))
	gauge(to, serving, boolToFloat(status.Serving))
	if status.AgeMs < 0 {
		gauge(to, listAge, -1)
	} else {
		gauge(to, listAge, float64(status.AgeMs)/1000)
	}
	gauge(to, term, float64(status.Term))
	gauge(to, abstains, boolToFloat(status.Abstains))
	gauge(to, heldLeases, float64(status.HeldLeases))
	gauge(to, heldZones, float64(status.HeldZones))
	count(to, expiredLeases, status.ExpiredLeases)
	gauge(to, configurations, float64(status.Configurations))
}

func gauge(to chan<- prometheus.Metric, desc *prometheus.Desc, value float64) {
	to <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value)
}

func count(to chan<- prometheus.Metric, desc *prometheus.Desc, value int64) {
	to <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value))
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
