package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"merlinpick/internal/registry/raftnode"
	"merlinpick/internal/registry/rollout"
	"merlinpick/internal/registry/state"
	"merlinpick/internal/settings"
)

// Configurations of services. docs/rollout.md says what is promised.
//
//	GET /config/SERVICE                        the newest; former=1: the one before; consistent=1 as for the list
//	GET /config/SERVICE?from=V&hold_ms=M       a watch, as of the list; line=L beside it. With name=PROXY, in_force=V and,
//	                                           where it is so, refused=V and why=KEY, the caller says what it has in force
//	PUT /config/SERVICE?from=V                 put the body after version V; 409 tells the newest where that is another
//	GET /config/SERVICE/status                 where which version is in force; all=1: every proxy, not only those behind
//	GET /v1/inforce/SERVICE                    what this member alone has heard of that

const (
	reportsTimeout  = time.Second // for the other members' part of a status
	maxReportsBytes = 8 << 20     // bytes of one
	// silent is without a word from a proxy, until what it has in force is unknown: it says it every rollout.Hold.
	reportSilence = 15 * time.Second
)

// ends of puts beside those of package state.
const (
	codeOldBuild        = "old_build" // a member's build does not know configurations
	codeInvalidDocument = "faulty"    // the document makes no sense
)

// ServiceConfig is the answer to a GET of a configuration. A watch that has no news has no document.
type ServiceConfig struct {
	Service  string          `json:"service"`
	Epoch    string          `json:"line"`
	Version  int64           `json:"version"` // 0: there is none
	Previous int64           `json:"former,omitempty"`
	Document json.RawMessage `json:"document,omitempty"`
}

// ConfigFault is the answer to a put that was not taken.
type ConfigErrorBody struct {
	ErrorBody
	Key     string `json:"key,omitempty"`    // of the document
	Remedy  string `json:"remedy,omitempty"` // what to do
	Version int64  `json:"version"`          // the newest, where it is known
}

func readService(w http.ResponseWriter, r *http.Request) (string, bool) {
	name := r.PathValue("service")
	if err := settings.CheckService(name); err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return "", false
	}
	return name, true
}

func writeConfig(w http.ResponseWriter, line string, c state.Configuration) {
	out := ServiceConfig{Service: c.Service, Epoch: line, Version: c.Version, Document: c.Document}
	if c.Previous != nil {
		out.Previous = c.Previous.Version
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) config(w http.ResponseWriter, r *http.Request, m *raftnode.Node) {
	name, ok := readService(w, r)
	if !ok {
		return
	}
	q := r.URL.Query()
	if q.Has("from") {
		s.watchConfig(w, r, m, name)
		return
	}
	if q.Get("consistent") == "1" {
		if err := m.WaitLinearizable(r.Context()); err != nil {
			s.rejectRetryable(w, err)
			return
		}
	}
	if !m.Serving() {
		s.rejectRetryable(w, raftnode.ErrStale)
		return
	}
	line, c, ok := m.Configuration(name)
	switch {
	case !ok, q.Get("former") == "1" && c.Previous == nil:
		writeJSON(w, http.StatusNotFound, ErrorBody{Error: name + " has no such configuration", Code: state.ResultUnknown})
	case q.Get("former") == "1":
		writeConfig(w, line, state.Configuration{Service: name, Version: c.Previous.Version, Document: c.Previous.Document})
	default:
		writeConfig(w, line, c)
	}
}

// word reads what a proxy says that it has in force; no name: nothing.
func readReport(w http.ResponseWriter, r *http.Request) (out rollout.ProxyReport, ok bool) {
	q := r.URL.Query()
	if out.Name = q.Get("name"); out.Name == "" {
		return out, true
	}
	if len(out.Name) > rollout.MaxNameBytes {
		writeError(w, http.StatusBadRequest, "name: at most %d bytes", rollout.MaxNameBytes)
		return out, false
	}
	if out.AppliedVersion, ok = queryNumber(w, r, "in_force", "a version is"); !ok {
		return out, false
	}
	if out.RejectedVersion, ok = queryNumber(w, r, "refused", "a version is"); !ok {
		return out, false
	}
	out.RejectReason = q.Get("why")
	out.RejectReason = out.RejectReason[:min(len(out.RejectReason), rollout.MaxReasonBytes)]
	return out, true
}

// watchConfig answers when there is something newer than from, or its time is over, by the rules of Server.watch.
func (s *Server) watchConfig(w http.ResponseWriter, r *http.Request, m *raftnode.Node, name string) {
	said, ok := readReport(w, r)
	if !ok {
		return
	}
	from, until, release, ok := s.hold(w, r)
	if !ok {
		return
	}
	defer release()
	if said.Name != "" && !s.reports.Record(name, said, time.Now()) {
		s.reportsDropped.Add(1)
	}
	line := r.URL.Query().Get("line")
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	over := false
	for {
		changed := m.Watches().Wait()
		if !m.Serving() {
			s.rejectRetryable(w, raftnode.ErrStale)
			return
		}
		own, c, _ := m.Configuration(name)
		c.Service = name
		switch {
		case line != "" && line != own, c.Version > from:
			writeConfig(w, own, c)
			return
		case c.Version < from && line == "":
			if err := m.WaitLinearizable(r.Context()); err != nil {
				s.rejectRetryable(w, err)
				return
			}
			if own, c, _ = m.Configuration(name); c.Version < from {
				c.Service = name
				writeConfig(w, own, c)
				return
			}
			continue
		case over && c.Version == from:
			writeJSON(w, http.StatusOK, ServiceConfig{Service: name, Epoch: own, Version: from})
			return
		case over:
			s.rejectRetryable(w, errors.New("this member has not come up to that version yet"))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-s.stopping:
			s.rejectRetryable(w, errors.New("this member ends"))
			return
		case <-r.Context().Done():
			return
		}
	}
}

func rejectConfig(w http.ResponseWriter, status int, end, key, problem, remedy string, newest int64) {
	writeJSON(w, status, ConfigErrorBody{ErrorBody{Error: problem, Code: end}, key, remedy, newest})
}

func (s *Server) putConfig(w http.ResponseWriter, r *http.Request, m *raftnode.Node) {
	name, ok := readService(w, r)
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
	body, ok := readBody(w, r, 2*settings.MaxDocumentBytes) // with spaces, which are not kept
	if !ok {
		return
	}
	document, err := settings.Canonical(body)
	if err == nil {
		err = settings.CheckDocument(document)
	}
	if err != nil {
		key := ""
		if fault := (*settings.Error)(nil); errors.As(err, &fault) {
			key = fault.Key
		}
		rejectConfig(w, http.StatusBadRequest, codeInvalidDocument, key, "the document: "+err.Error(), "correct it; nothing was changed", 0)
		return
	}
	// A leader of an older build would answer as if there were no such call.
	if leader, ok := m.Leader(); ok && leader.Name != s.cfg.Name && r.Header.Get(forwardedHeader) == "" {
		var fault *raftnode.IncompatibleMemberError
		if err := m.SupportsConfigs(r.Context(), leader); errors.As(err, &fault) && fault.Cause == nil {
			s.rejectOldBuild(w, err)
			return
		}
	}
	if s.forwardToLeader(w, r, m, body) {
		return
	}
	res, err := m.Configure(r.Context(), name, after, document)
	var old *raftnode.IncompatibleMemberError
	switch {
	case errors.As(err, &old):
		s.rejectOldBuild(w, err)
	case err != nil:
		s.rejectRetryable(w, err)
	case res.Code == state.ResultDone:
		line, _ := m.Version()
		writeJSON(w, http.StatusOK, ServiceConfig{Service: name, Epoch: line, Version: res.Version})
	case res.Code == state.ResultConflict:
		rejectConfig(w, http.StatusConflict, res.Code, "", fmt.Sprintf("%s is at version %d, not %d", name, res.Version, after),
			"look at it, and put yours after that one", res.Version)
	case res.Code == state.ResultNoRoom:
		rejectConfig(w, http.StatusInsufficientStorage, res.Code, "", fmt.Sprintf("%d services with %d bytes of documents may be held",
			state.MaxServices, state.MaxDocumentBytes), "put shorter documents", res.Version)
	default:
		rejectConfig(w, http.StatusConflict, res.Code, "", "the leader's program did not take it", "", res.Version)
	}
}

func (s *Server) rejectOldBuild(w http.ResponseWriter, err error) {
	s.rejected.Add(1)
	w.Header().Set("Retry-After", "5")
	writeJSON(w, http.StatusServiceUnavailable, ErrorBody{Error: err.Error(), Code: codeOldBuild})
}

func (s *Server) localReports(w http.ResponseWriter, r *http.Request, _ *raftnode.Node) {
	if name, ok := readService(w, r); ok {
		writeJSON(w, http.StatusOK, s.reports.Reports(name, time.Now()))
	}
}

// The states of a proxy in a ConfigStatus.
const (
	StateApplied  = "in_force" // the newest
	StateBehind   = "behind"   // another version, or its file's
	StateRejected = "refused"  // it refused the newest: Why has the key
	StateUnknown  = "unknown"  // it has said nothing for 15 s
)

// ProxyStatus is one proxy in a ConfigStatus.
type ProxyStatus struct {
	State string `json:"state"`
	rollout.ProxyReport
}

// ConfigStatus tells where a configuration is in force, by what proxies have told any member.
type ConfigStatus struct {
	Service string         `json:"service"`
	Epoch   string         `json:"line"`
	Version int64          `json:"version"`
	Partial bool           `json:"partial"` // not all members have answered: those that watch there may be missing or old
	Silent  []string       `json:"silent"`  // these
	Counts  map[string]int `json:"counts"`  // of proxies, by state
	Lowest  int64          `json:"lowest"`  // version in force, of proxies that are heard
	Highest int64          `json:"highest"`
	Proxies []ProxyStatus  `json:"proxies"` // those that are not in force, or all
}

func (s *Server) configStatus(w http.ResponseWriter, r *http.Request, m *raftnode.Node) {
	name, ok := readService(w, r)
	if !ok {
		return
	}
	if !m.Serving() {
		s.rejectRetryable(w, raftnode.ErrStale)
		return
	}
	heard, silent := s.collectReports(r.Context(), m, name)
	line, c, _ := m.Configuration(name) // after the words: none is of a version that is not known here yet
	st := ConfigStatus{Service: name, Epoch: line, Version: c.Version, Partial: len(silent) > 0, Silent: silent}
	st.fill(rollout.MergeReports(heard...), r.URL.Query().Get("all") == "1")
	writeJSON(w, http.StatusOK, st)
}

// askWords asks all members for what they have heard.
func (s *Server) collectReports(ctx context.Context, m *raftnode.Node, name string) (heard [][]rollout.ProxyReport, silent []string) {
	ctx, cancel := context.WithTimeout(ctx, reportsTimeout)
	defer cancel()
	others := m.Peers()
	heard, silent = make([][]rollout.ProxyReport, len(others)+1), []string{}
	heard[len(others)] = s.reports.Reports(name, time.Now())
	faults := make([]error, len(others))
	var asked sync.WaitGroup
	for i, p := range others {
		asked.Go(func() { faults[i] = m.CallPeer(ctx, p, "/v1/inforce/"+name, maxReportsBytes, &heard[i]) })
	}
	asked.Wait()
	for i, err := range faults {
		if err != nil {
			heard[i] = nil
			silent = append(silent, others[i].Name)
		}
	}
	return heard, silent
}

func (st *ConfigStatus) fill(words []rollout.ProxyReport, all bool) {
	st.Counts, st.Proxies = map[string]int{StateApplied: 0, StateBehind: 0, StateRejected: 0, StateUnknown: 0}, []ProxyStatus{}
	first := true
	for _, w := range words {
		p := ProxyStatus{StateBehind, w}
		switch {
		case w.AgeMs >= reportSilence.Milliseconds():
			p.State = StateUnknown
		case w.AppliedVersion == st.Version:
			p.State = StateApplied
		case w.RejectedVersion != 0 && w.RejectedVersion == st.Version:
			p.State = StateRejected
		}
		st.Counts[p.State]++
		if p.State != StateUnknown {
			if first || w.AppliedVersion < st.Lowest {
				st.Lowest = w.AppliedVersion
			}
			st.Highest, first = max(st.Highest, w.AppliedVersion), false
		}
		if all || p.State != StateApplied {
			st.Proxies = append(st.Proxies, p)
		}
	}
}
