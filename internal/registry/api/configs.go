package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"merlinpick/internal/registry/raftnode"
	"merlinpick/internal/registry/state"
	"merlinpick/internal/settings"
)

// Calls for the configurations of services. docs/rollout.md states the guarantees.
//
//	GET /config/SERVICE                     the newest document; former=1: the previous one;
//	                                        consistent=1: a linearizable read
//	GET /config/SERVICE?from=V&hold_ms=M    a watch, like that of the list; line=L is the epoch of V. With
//	                                        name=PROXY and in_force=V the proxy reports what it has applied,
//	                                        with refused=V and why=KEY what it has rejected
//	PUT /config/SERVICE?from=V              write the body as the version after V; 409 returns the newest
//	                                        version if it is not V
//	GET /config/SERVICE/status              which proxies have applied which version; all=1: also those that
//	                                        are up to date
//	GET /v1/inforce/SERVICE                 the proxies' reports to this member alone

// Codes of rejected writes, in addition to those of package state.
const (
	codeOldBuild        state.ResultCode = "old_build" // a member's build does not support configurations
	codeInvalidDocument state.ResultCode = "faulty"
)

// ServiceConfig is the response to a GET of a configuration, and to a write, which gets no document. A watch
// that ends without a newer version has no document either.
type ServiceConfig struct {
	Service  string          `json:"service"`
	Epoch    string          `json:"line"`
	Version  int64           `json:"version"` // 0: the service has no configuration
	Previous int64           `json:"former,omitempty"`
	Document json.RawMessage `json:"document,omitempty"`
}

// ConfigErrorBody is the body of the response to a rejected write.
type ConfigErrorBody struct {
	ErrorBody
	Key     string `json:"key,omitempty"`    // the document's key at fault
	Remedy  string `json:"remedy,omitempty"` // what the writer has to do
	Version int64  `json:"version"`          // newest version of the configuration; 0: not known
}

// readService returns the service that a call's path names. If the name is invalid, it responds with 400 and
// returns false.
func readService(w http.ResponseWriter, r *http.Request) (string, bool) {
	name := r.PathValue("service")
	if err := settings.CheckService(name); err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return "", false
	}
	return name, true
}

func writeConfig(w http.ResponseWriter, epoch string, c state.Configuration) {
	out := ServiceConfig{Service: c.Service, Epoch: epoch, Version: c.Version, Document: c.Document}
	if c.Previous != nil {
		out.Previous = c.Previous.Version
	}
	writeJSON(w, http.StatusOK, out)
}

// config handles GET /config/SERVICE: it responds with a configuration or serves a watch of it.
func (s *Server) config(w http.ResponseWriter, r *http.Request, node *raftnode.Node) {
	service, ok := readService(w, r)
	if !ok {
		return
	}
	query := r.URL.Query()
	if query.Has("from") {
		s.watchConfig(w, r, node, service)
		return
	}
	if !s.awaitReadable(w, r, node) {
		return
	}
	wantPrevious := query.Get("former") == "1"
	epoch, c, ok := node.Configuration(service)
	switch {
	case !ok, wantPrevious && c.Previous == nil:
		writeJSON(w, http.StatusNotFound, ErrorBody{Error: service + " has no such configuration", Code: state.ResultUnknown})
	case wantPrevious:
		writeConfig(w, epoch, state.Configuration{Service: service, Version: c.Previous.Version, Document: c.Previous.Document})
	default:
		writeConfig(w, epoch, c)
	}
}

// watchConfig records the proxy's report, waits as Server.awaitEvent does and responds with the
// configuration.
func (s *Server) watchConfig(w http.ResponseWriter, r *http.Request, node *raftnode.Node, service string) {
	report, ok := readReport(w, r)
	if !ok {
		return
	}
	request, release, ok := s.startWatch(w, r)
	if !ok {
		return
	}
	defer release()
	if report.Name != "" && !s.reports.Record(service, report, time.Now()) {
		s.reportsDropped.Add(1)
	}
	var epoch string
	var config state.Configuration
	event := s.awaitEvent(w, r, node, request, func() (string, int64) {
		epoch, config, _ = node.Configuration(service)
		config.Service = service
		return epoch, config.Version
	})
	switch event {
	case watchReset, watchNewer:
		writeConfig(w, epoch, config)
	case watchUnchanged:
		writeJSON(w, http.StatusOK, ServiceConfig{Service: service, Epoch: epoch, Version: request.from})
	}
}

// putConfig handles PUT /config/SERVICE: it writes a configuration as the version after the one that the
// writer has seen.
func (s *Server) putConfig(w http.ResponseWriter, r *http.Request, node *raftnode.Node) {
	service, ok := readService(w, r)
	if !ok {
		return
	}
	if !r.URL.Query().Has("from") {
		writeError(w, http.StatusBadRequest, "from: the version that you have seen is needed, 0 for the first")
		return
	}
	after, ok := queryNumber(w, r, "from", "a version is")
	if !ok {
		return
	}
	body, ok := readBody(w, r, 2*settings.MaxDocumentBytes) // with spaces, which the canonical form drops
	if !ok {
		return
	}
	document, ok := readDocument(w, body)
	if !ok || s.rejectOldLeader(w, r, node) || s.forwardToLeader(w, r, node, body) {
		return
	}
	result, err := node.Configure(r.Context(), service, after, document)
	var incompatible *raftnode.IncompatibleMemberError
	switch {
	case errors.As(err, &incompatible):
		s.rejectOldBuild(w, err)
	case err != nil:
		s.rejectRetryable(w, err)
	case result.Code == state.ResultDone:
		epoch, _ := node.Version()
		writeJSON(w, http.StatusOK, ServiceConfig{Service: service, Epoch: epoch, Version: result.Version})
	default:
		writeConfigRejected(w, service, after, result)
	}
}

// readDocument returns the document of a body in canonical form. If the document is invalid, it responds with
// 400 and the key at fault and returns false.
func readDocument(w http.ResponseWriter, body []byte) (json.RawMessage, bool) {
	document, err := settings.Canonical(body)
	if err == nil {
		err = settings.CheckDocument(document)
	}
	if err == nil {
		return document, true
	}
	key := ""
	if invalid := (*settings.Error)(nil); errors.As(err, &invalid) {
		key = invalid.Key
	}
	writeJSON(w, http.StatusBadRequest, ConfigErrorBody{ErrorBody{"the document: " + err.Error(), codeInvalidDocument}, key,
		"correct it; nothing was changed", 0})
	return nil, false
}

// writeConfigRejected responds to a write that changed nothing, according to its result code.
func writeConfigRejected(w http.ResponseWriter, service string, after int64, result state.Result) {
	status, body := http.StatusConflict, ConfigErrorBody{ErrorBody: ErrorBody{Code: result.Code}, Version: result.Version}
	switch result.Code {
	case state.ResultConflict:
		body.Error = fmt.Sprintf("%s is at version %d, not %d", service, result.Version, after)
		body.Remedy = "look at it, and put yours after that one"
	case state.ResultNoRoom:
		status = http.StatusInsufficientStorage
		body.Error = fmt.Sprintf("%d services with %d bytes of documents may be held",
			state.MaxServices, state.MaxDocumentBytes)
		body.Remedy = "put shorter documents"
	default:
		body.Error = "the leader's program did not take it"
	}
	writeJSON(w, status, body)
}

// rejectOldLeader reports whether it has rejected a write because the leader's build does not support
// configurations. Such a leader would respond to the forwarded write with 404 or 405.
func (s *Server) rejectOldLeader(w http.ResponseWriter, r *http.Request, node *raftnode.Node) bool {
	leader, ok := node.Leader()
	if !ok || leader.Name == s.cfg.Name || r.Header.Get(forwardedHeader) != "" {
		return false
	}
	err := node.SupportsConfigs(r.Context(), leader)
	var incompatible *raftnode.IncompatibleMemberError
	if !errors.As(err, &incompatible) || incompatible.Cause != nil {
		return false
	}
	s.rejectOldBuild(w, err)
	return true
}

// rejectOldBuild responds with 503 because a member's build does not support configurations.
func (s *Server) rejectOldBuild(w http.ResponseWriter, err error) {
	s.rejected.Add(1)
	w.Header().Set("Retry-After", "5")
	writeJSON(w, http.StatusServiceUnavailable, ErrorBody{Error: err.Error(), Code: codeOldBuild})
}
