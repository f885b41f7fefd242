package management

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"

	"merlinpick/internal/override"
)

const textPlain = "text/plain; charset=utf-8"

// handleReady answers whether the proxy is ready, with 200 or 503.
func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if reason := s.proxy.NotReadyReason(); reason != "" {
		http.Error(w, "not ready: "+reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// handleMetrics writes the proxy's metrics.
func (s *Server) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", textPlain)
	_, _ = w.Write(s.proxy.Metrics().encode())
}

// handleZones writes one line for each zone.
func (s *Server) handleZones(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", textPlain)
	for _, zone := range s.proxy.Zones() {
		fmt.Fprintf(w, "name=%s state=%v share=%.2f epoch=%d since_ms=%d reason=%q\n", zone.metricName(),
			phaseNames[zone.Phase], zone.WeightFraction, zone.Transitions, zone.Since.Milliseconds(), zone.Reason)
	}
}

// serverCall returns the handler of an operator call that acts on one server. call is its name in the log.
func (s *Server) serverCall(call string, action func(server string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		server := r.PathValue("id")
		err := action(server)
		var unknown *override.UnknownServerError
		if errors.As(err, &unknown) {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		s.respond(w, err, slog.String("call", call), slog.String("endpoint", server))
	}
}

// zoneCall returns the handler of an operator call that acts on one zone. call is its name in the log.
func (s *Server) zoneCall(call string, action func(zone string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		zone := r.PathValue("name")
		err := action(zone)
		var unknown *override.UnknownZoneError
		var last *override.LastZoneError
		switch {
		case errors.As(err, &unknown):
			s.log.Warn("operator call rejected", "call", call, "zone", zone, "error", err)
			http.Error(w, err.Error(), http.StatusNotFound)
		case errors.As(err, &last):
			s.log.Warn("operator call rejected", "call", call, "zone", zone, "error", err)
			http.Error(w, err.Error(), http.StatusConflict)
		default:
			s.respond(w, err, slog.String("call", call), slog.String("zone", zone))
		}
	}
}

// respond logs and answers an operator call: with 200 if it took effect, or with 503 if it failed and may be
// retried. subject is what the call acts on.
func (s *Server) respond(w http.ResponseWriter, err error, call, subject slog.Attr) {
	if err != nil {
		s.log.Error("operator call failed", call, subject, "error", err)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	s.log.Info("operator call applied", call, subject)
	_, _ = io.WriteString(w, "ok\n")
}
