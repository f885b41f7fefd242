// Package api is the list service's address: the published protocol for proxies, registrations for nodos, and what
// members and operators ask.
//
//	GET    /catalog/members                    the whole list; with consistent=1 as of a moment after the call
//	GET    /catalog/members?from=N&hold_ms=M   a watch; line=L beside it names the line that N counts in
//	PUT    /catalog/members/NAME               register, or renew with another lease; again without harm
//	POST   /catalog/members/NAME/renew         {"instance": ...}
//	POST   /catalog/members/NAME/drain         {"instance": ...}
//	DELETE /catalog/members/NAME?instance=I    deregister
//	GET    /config/SERVICE                     a service's configuration; as a watch and with what is in force: configs.go
//	PUT    /config/SERVICE?from=V              put one after version V
//	GET    /config/SERVICE/status              where it is in force
//	GET    /v1/member /v1/proof /v1/nodos /v1/snapshot
//	POST   /v1/restore
//
// Answers carry "line" beside the published keys. By it a caller knows why versions went on as they did: a whole list
// of the same line is never older than what that line has told before, by any member; one of another line begins
// anew, and what is missing from it was not taken out by anybody.
//
// Any member takes any call. What only the leader can do is passed on to it, once. 503 says that trying again does no
// harm, here or at another member, after Retry-After.
package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"merlinpick/internal/listener"
	"merlinpick/internal/registry/raftnode"
	"merlinpick/internal/registry/rollout"
	"merlinpick/internal/registry/state"
)

const (
	maxLongPoll     = 60 * time.Second
	maxBodyBytes    = 64 << 10
	writeTimeout    = 5 * time.Second // for a caller to take an answer
	headerTimeout   = 5 * time.Second
	bodyTimeout     = 10 * time.Second
	idleTimeout     = 2 * time.Minute
	forwardTimeout  = 4 * time.Second // for the leader's answer
	forwardedHeader = "Roster-Passed" // header of a call that a member has passed on
)

// Config is what the address is.
type Config struct {
	Listen     string
	Name       string // of the member
	MaxWatches int    // watches that are held at once; more are answered 503
	Logger     *slog.Logger
}

// Server answers the calls.
type Server struct {
	cfg           Config
	http          *http.Server
	listener      net.Listener
	node          atomic.Pointer[raftnode.Node]
	forwardClient *http.Client
	stopping      chan struct{} // closed when watches have to end
	stopOnce      sync.Once
	reports       rollout.Table // what proxies have told this member

	// Counts, for Figures.
	watching, calls, rejected, snapshots, changes, forwarded, reportsDropped atomic.Int64
}

// Figures are the counts so far.
type Metrics struct {
	Watches   int64 // held now
	Calls     int64
	Rejected  int64 // answered 503
	Snapshots int64 // answers with the whole list
	Changes   int64 // and with changes, perhaps none
	Forwarded int64 // calls passed on to the leader

	ProxyReports        int64 // proxies that have told what they have in force
	ProxyReportsDropped int64 // words for which there was no room
}

// Listen opens the address; Serve answers there, and until Open all but a word on itself is 503.
func Listen(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{cfg: cfg, listener: listener.Retry(l, cfg.Logger), stopping: make(chan struct{}), forwardClient: &http.Client{Timeout: forwardTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 8, MaxConnsPerHost: 64, IdleConnTimeout: idleTimeout, DisableCompression: true}}}
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(cfg.Logger.Handler(), slog.LevelDebug)}
	return s, nil
}

// Addr is the address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Open has it answer for a member.
func (s *Server) SetNode(m *raftnode.Node) { s.node.Store(m) }

// Serve answers until End.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// End tells those who watch to go elsewhere, and ends when they have been told, or patience has.
func (s *Server) Shutdown(patience time.Duration) {
	s.stopOnce.Do(func() { close(s.stopping) })
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
}

// Figures are the counts so far.
func (s *Server) Metrics() Metrics {
	return Metrics{s.watching.Load(), s.calls.Load(), s.rejected.Load(), s.snapshots.Load(), s.changes.Load(), s.forwarded.Load(),
		int64(s.reports.Len()), s.reportsDropped.Load()}
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	with := func(do func(http.ResponseWriter, *http.Request, *raftnode.Node)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			s.calls.Add(1)
			m := s.node.Load()
			if m == nil {
				s.rejectRetryable(w, errors.New("this member waits for the others"))
				return
			}
			do(w, r, m)
		}
	}
	mux.HandleFunc("GET /catalog/members", with(s.list))
	mux.HandleFunc("PUT /catalog/members/{name}", with(s.register))
	mux.HandleFunc("POST /catalog/members/{name}/renew", with(s.renew))
	mux.HandleFunc("POST /catalog/members/{name}/drain", with(s.drainOrDeregister(state.CommandDrain)))
	mux.HandleFunc("DELETE /catalog/members/{name}", with(s.drainOrDeregister(state.CommandDeregister)))
	mux.HandleFunc("GET /config/{service}", with(s.config))
	mux.HandleFunc("PUT /config/{service}", with(s.putConfig))
	mux.HandleFunc("GET /config/{service}/status", with(s.configStatus))
	mux.HandleFunc("GET /v1/inforce/{service}", with(s.localReports))
	mux.HandleFunc("GET /v1/member", func(w http.ResponseWriter, r *http.Request) {
		if m := s.node.Load(); m != nil {
			writeJSON(w, http.StatusOK, m.Status())
			return
		}
		writeJSON(w, http.StatusOK, raftnode.WaitingStatus(s.cfg.Name))
	})
	mux.HandleFunc("GET /v1/proof", with(func(w http.ResponseWriter, r *http.Request, m *raftnode.Node) {
		p, err := m.ReadIndex()
		if err != nil {
			s.rejectRetryable(w, err)
			return
		}
		writeJSON(w, http.StatusOK, p)
	}))
	mux.HandleFunc("GET /v1/nodos", with(func(w http.ResponseWriter, r *http.Request, m *raftnode.Node) {
		if s.forwardToLeader(w, r, m, nil) {
			return
		}
		if err := m.WaitLinearizable(r.Context()); err != nil {
			s.rejectRetryable(w, err)
			return
		}
		writeJSON(w, http.StatusOK, m.Endpoints())
	}))
	mux.HandleFunc("GET /v1/snapshot", with(s.snapshot))
	mux.HandleFunc("POST /v1/restore", with(s.restore))
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // structs of words and numbers
	}
	writeBody(w, status, append(text, '\n'))
}

// send writes an answer that is whole already. A caller that does not take it is left after a while.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// Fault is the body of an answer that is no yes.
type ErrorBody struct {
	Error string `json:"error"`
	Code  string `json:"end,omitempty"` // of a command, by package state
}

// FaultOf reads the body of an answer that is no yes; one that is none of the service's says as much as its status does.
func ReadError(resp *http.Response, body []byte) (f ErrorBody) {
	if json.Unmarshal(body, &f) != nil || f.Error == "" {
		f.Error = resp.Status
	}
	return f
}

func writeError(w http.ResponseWriter, status int, format string, args ...any) {
	writeJSON(w, status, ErrorBody{Error: fmt.Sprintf(format, args...)})
}

// turn answers that trying again does no harm.
func (s *Server) rejectRetryable(w http.ResponseWriter, err error) {
	s.rejected.Add(1)
	w.Header().Set("Retry-After", "1")
	writeError(w, http.StatusServiceUnavailable, "%v", err)
}

// list answers with the whole list, or a watch.
func (s *Server) list(w http.ResponseWriter, r *http.Request, m *raftnode.Node) {
	q := r.URL.Query()
	if !q.Has("from") {
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
		s.snapshots.Add(1)
		writeBody(w, http.StatusOK, m.Watches().Snapshot())
		return
	}
	from, until, release, ok := s.hold(w, r)
	if !ok {
		return
	}
	defer release()
	s.watch(w, r, m, from, q.Get("line"), until)
}

// number reads a number of a call, 0 or more; 0 if it is not there.
func queryNumber(w http.ResponseWriter, r *http.Request, key, what string) (n int64, ok bool) {
	word := r.URL.Query().Get(key)
	if word == "" && !r.URL.Query().Has(key) {
		return 0, true
	}
	n, err := strconv.ParseInt(word, 10, 64)
	if err != nil || n < 0 {
		writeError(w, http.StatusBadRequest, "%s=%q: %s needed, 0 or more", key, word, what)
		return 0, false
	}
	return n, true
}

// hold reads what a watch waits for and until when, and counts it among those that are held until its release.
func (s *Server) hold(w http.ResponseWriter, r *http.Request) (from int64, until time.Time, release func(), ok bool) {
	if from, ok = queryNumber(w, r, "from", "a version is"); !ok {
		return 0, until, nil, false
	}
	ms, ok := queryNumber(w, r, "hold_ms", "milliseconds are")
	if !ok {
		return 0, until, nil, false
	}
	if n := s.watching.Add(1); n > int64(s.cfg.MaxWatches) {
		s.watching.Add(-1)
		s.rejectRetryable(w, fmt.Errorf("%d watches are held, as many as there may be", n-1))
		return 0, until, nil, false
	}
	until = time.Now().Add(time.Duration(min(ms, maxLongPoll.Milliseconds())) * time.Millisecond)
	return from, until, func() { s.watching.Add(-1) }, true
}

// watch answers when there is something newer than from, or its time is over.
//
// A version that this member has not reached is of a member that is ahead of it (then it waits), or of a line that was
// lost (then the whole list tells). Which of the two, the caller's line says; one that names no line waits until this
// member has proved itself current since the call came.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, m *raftnode.Node, from int64, line string, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	over := false
	for {
		changed := m.Watches().Wait()
		if !m.Serving() {
			s.rejectRetryable(w, raftnode.ErrStale)
			return
		}
		own, index := m.Version()
		switch {
		case line != "" && line != own:
			s.snapshots.Add(1)
			writeBody(w, http.StatusOK, m.Watches().Snapshot())
			return
		case from > index && line == "":
			if err := m.WaitLinearizable(r.Context()); err != nil {
				s.rejectRetryable(w, err)
				return
			}
			if _, index = m.Version(); from > index {
				s.snapshots.Add(1)
				writeBody(w, http.StatusOK, m.Watches().Snapshot())
				return
			}
			continue
		case from < index, over && from == index:
			s.changes.Add(1)
			writeBody(w, http.StatusOK, m.Watches().ChangesSince(from))
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

// toLeader passes a call on if this member does not lead; true: it is answered.
func (s *Server) forwardToLeader(w http.ResponseWriter, r *http.Request, m *raftnode.Node, body []byte) bool {
	leader, ok := m.Leader()
	if ok && leader.Name == s.cfg.Name {
		return false // whether it really leads is seen when it does what was asked
	}
	if !ok || leader.API == "" || r.Header.Get(forwardedHeader) != "" {
		s.rejectRetryable(w, raftnode.ErrNoLeader)
		return true
	}
	s.forwarded.Add(1)
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+leader.API+r.URL.RequestURI(), bodyReader(body))
	if err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return true
	}
	req.Header.Set(forwardedHeader, s.cfg.Name)
	resp, err := s.forwardClient.Do(req)
	if err != nil {
		s.rejectRetryable(w, fmt.Errorf("%w (the leader, %s: %w)", raftnode.ErrUncertain, leader.Name, err))
		return true
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, state.MaxSnapshotBytes))
	if err != nil {
		s.rejectRetryable(w, fmt.Errorf("%w (the leader, %s: %w)", raftnode.ErrUncertain, leader.Name, err))
		return true
	}
	if after := resp.Header.Get("Retry-After"); after != "" {
		w.Header().Set("Retry-After", after)
	}
	writeBody(w, resp.StatusCode, text)
	return true
}
