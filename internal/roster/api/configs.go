package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"fernlanding/internal/roster/inforce"
	"fernlanding/internal/roster/member"
	"fernlanding/internal/roster/state"
	"fernlanding/internal/settings"
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
	wordsWait = time.Second // for the other members' part of a status
	wordsMost = 8 << 20     // bytes of one
	// silent is without a word from a proxy, until what it has in force is unknown: it says it every rollout.Hold.
	silent = 15 * time.Second
)

// ends of puts beside those of package state.
const (
	endOldBuild = "old_build" // a member's build does not know configurations
	endFaulty   = "faulty"    // the document makes no sense
)

// ServiceConfig is the answer to a GET of a configuration. A watch that has no news has no document.
type ServiceConfig struct {
	Service  string          `json:"service"`
	Line     string          `json:"line"`
	Version  int64           `json:"version"` // 0: there is none
	Former   int64           `json:"former,omitempty"`
	Document json.RawMessage `json:"document,omitempty"`
}

// ConfigFault is the answer to a put that was not taken.
type ConfigFault struct {
	Fault
	Key     string `json:"key,omitempty"`    // of the document
	Remedy  string `json:"remedy,omitempty"` // what to do
	Version int64  `json:"version"`          // the newest, where it is known
}

func service(w http.ResponseWriter, r *http.Request) (string, bool) {
	name := r.PathValue("service")
	if err := settings.CheckService(name); err != nil {
		fail(w, http.StatusBadRequest, "%v", err)
		return "", false
	}
	return name, true
}

func sendConfig(w http.ResponseWriter, line string, c state.Configuration) {
	out := ServiceConfig{Service: c.Service, Line: line, Version: c.Version, Document: c.Document}
	if c.Former != nil {
		out.Former = c.Former.Version
	}
	answer(w, http.StatusOK, out)
}

func (s *Server) config(w http.ResponseWriter, r *http.Request, m *member.Member) {
	name, ok := service(w, r)
	if !ok {
		return
	}
	q := r.URL.Query()
	if q.Has("from") {
		s.watchConfig(w, r, m, name)
		return
	}
	if q.Get("consistent") == "1" {
		if err := m.AwaitFresh(r.Context()); err != nil {
			s.turn(w, err)
			return
		}
	}
	if !m.Serving() {
		s.turn(w, member.ErrStale)
		return
	}
	line, c, ok := m.Configuration(name)
	switch {
	case !ok, q.Get("former") == "1" && c.Former == nil:
		answer(w, http.StatusNotFound, Fault{Error: name + " has no such configuration", End: state.Unknown})
	case q.Get("former") == "1":
		sendConfig(w, line, state.Configuration{Service: name, Version: c.Former.Version, Document: c.Former.Document})
	default:
		sendConfig(w, line, c)
	}
}

// word reads what a proxy says that it has in force; no name: nothing.
func word(w http.ResponseWriter, r *http.Request) (out inforce.Word, ok bool) {
	q := r.URL.Query()
	if out.Name = q.Get("name"); out.Name == "" {
		return out, true
	}
	if len(out.Name) > inforce.NameMost {
		fail(w, http.StatusBadRequest, "name: at most %d bytes", inforce.NameMost)
		return out, false
	}
	if out.InForce, ok = number(w, r, "in_force", "a version is"); !ok {
		return out, false
	}
	if out.Refused, ok = number(w, r, "refused", "a version is"); !ok {
		return out, false
	}
	out.Why = q.Get("why")
	out.Why = out.Why[:min(len(out.Why), inforce.WhyMost)]
	return out, true
}

// watchConfig answers when there is something newer than from, or its time is over, by the rules of Server.watch.
func (s *Server) watchConfig(w http.ResponseWriter, r *http.Request, m *member.Member, name string) {
	said, ok := word(w, r)
	if !ok {
		return
	}
	from, until, release, ok := s.hold(w, r)
	if !ok {
		return
	}
	defer release()
	if said.Name != "" && !s.words.Say(name, said, time.Now()) {
		s.wordsDropped.Add(1)
	}
	line := r.URL.Query().Get("line")
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	over := false
	for {
		changed := m.Hub().Await()
		if !m.Serving() {
			s.turn(w, member.ErrStale)
			return
		}
		own, c, _ := m.Configuration(name)
		c.Service = name
		switch {
		case line != "" && line != own, c.Version > from:
			sendConfig(w, own, c)
			return
		case c.Version < from && line == "":
			if err := m.AwaitFresh(r.Context()); err != nil {
				s.turn(w, err)
				return
			}
			if own, c, _ = m.Configuration(name); c.Version < from {
				c.Service = name
				sendConfig(w, own, c)
				return
			}
			continue
		case over && c.Version == from:
			answer(w, http.StatusOK, ServiceConfig{Service: name, Line: own, Version: from})
			return
		case over:
			s.turn(w, errors.New("this member has not come up to that version yet"))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-s.ending:
			s.turn(w, errors.New("this member ends"))
			return
		case <-r.Context().Done():
			return
		}
	}
}

func refuse(w http.ResponseWriter, status int, end, key, problem, remedy string, newest int64) {
	answer(w, status, ConfigFault{Fault{Error: problem, End: end}, key, remedy, newest})
}

func (s *Server) putConfig(w http.ResponseWriter, r *http.Request, m *member.Member) {
	name, ok := service(w, r)
	if !ok {
		return
	}
	if !r.URL.Query().Has("from") {
		fail(w, http.StatusBadRequest, "from: the version that you have seen is needed, 0 for the first")
		return
	}
	after, ok := number(w, r, "from", "a version is")
	if !ok {
		return
	}
	body, ok := whole(w, r, 2*settings.DocumentMost) // with spaces, which are not kept
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
		refuse(w, http.StatusBadRequest, endFaulty, key, "the document: "+err.Error(), "correct it; nothing was changed", 0)
		return
	}
	// A leader of an older build would answer as if there were no such call.
	if leader, ok := m.Leader(); ok && leader.Name != s.cfg.Name && r.Header.Get(passed) == "" {
		var fault *member.BuildError
		if err := m.Knows(r.Context(), leader); errors.As(err, &fault) && fault.Cause == nil {
			s.turnOldBuild(w, err)
			return
		}
	}
	if s.toLeader(w, r, m, body) {
		return
	}
	res, err := m.Configure(r.Context(), name, after, document)
	var old *member.BuildError
	switch {
	case errors.As(err, &old):
		s.turnOldBuild(w, err)
	case err != nil:
		s.turn(w, err)
	case res.End == state.Done:
		line, _ := m.Version()
		answer(w, http.StatusOK, ServiceConfig{Service: name, Line: line, Version: res.Index})
	case res.End == state.Conflict:
		refuse(w, http.StatusConflict, res.End, "", fmt.Sprintf("%s is at version %d, not %d", name, res.Index, after),
			"look at it, and put yours after that one", res.Index)
	case res.End == state.NoRoom:
		refuse(w, http.StatusInsufficientStorage, res.End, "", fmt.Sprintf("%d services with %d bytes of documents may be held",
			state.ServicesMost, state.DocumentsMost), "put shorter documents", res.Index)
	default:
		refuse(w, http.StatusConflict, res.End, "", "the leader's program did not take it", "", res.Index)
	}
}

func (s *Server) turnOldBuild(w http.ResponseWriter, err error) {
	s.turned.Add(1)
	w.Header().Set("Retry-After", "5")
	answer(w, http.StatusServiceUnavailable, Fault{Error: err.Error(), End: endOldBuild})
}

func (s *Server) ownWords(w http.ResponseWriter, r *http.Request, _ *member.Member) {
	if name, ok := service(w, r); ok {
		answer(w, http.StatusOK, s.words.Of(name, time.Now()))
	}
}

// The states of a proxy in a ConfigStatus.
const (
	InForce = "in_force" // the newest
	Behind  = "behind"   // another version, or its file's
	Refused = "refused"  // it refused the newest: Why has the key
	Unheard = "unknown"  // it has said nothing for 15 s
)

// ProxyStatus is one proxy in a ConfigStatus.
type ProxyStatus struct {
	State string `json:"state"`
	inforce.Word
}

// ConfigStatus tells where a configuration is in force, by what proxies have told any member.
type ConfigStatus struct {
	Service string         `json:"service"`
	Line    string         `json:"line"`
	Version int64          `json:"version"`
	Partial bool           `json:"partial"` // not all members have answered: those that watch there may be missing or old
	Silent  []string       `json:"silent"`  // these
	Counts  map[string]int `json:"counts"`  // of proxies, by state
	Lowest  int64          `json:"lowest"`  // version in force, of proxies that are heard
	Highest int64          `json:"highest"`
	Proxies []ProxyStatus  `json:"proxies"` // those that are not in force, or all
}

func (s *Server) configStatus(w http.ResponseWriter, r *http.Request, m *member.Member) {
	name, ok := service(w, r)
	if !ok {
		return
	}
	if !m.Serving() {
		s.turn(w, member.ErrStale)
		return
	}
	heard, silent := s.askWords(r.Context(), m, name)
	line, c, _ := m.Configuration(name) // after the words: none is of a version that is not known here yet
	st := ConfigStatus{Service: name, Line: line, Version: c.Version, Partial: len(silent) > 0, Silent: silent}
	st.fill(inforce.Merge(heard...), r.URL.Query().Get("all") == "1")
	answer(w, http.StatusOK, st)
}

// askWords asks all members for what they have heard.
func (s *Server) askWords(ctx context.Context, m *member.Member, name string) (heard [][]inforce.Word, silent []string) {
	ctx, cancel := context.WithTimeout(ctx, wordsWait)
	defer cancel()
	others := m.Others()
	heard, silent = make([][]inforce.Word, len(others)+1), []string{}
	heard[len(others)] = s.words.Of(name, time.Now())
	faults := make([]error, len(others))
	var asked sync.WaitGroup
	for i, p := range others {
		asked.Go(func() { faults[i] = m.Ask(ctx, p, "/v1/inforce/"+name, wordsMost, &heard[i]) })
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

func (st *ConfigStatus) fill(words []inforce.Word, all bool) {
	st.Counts, st.Proxies = map[string]int{InForce: 0, Behind: 0, Refused: 0, Unheard: 0}, []ProxyStatus{}
	first := true
	for _, w := range words {
		p := ProxyStatus{Behind, w}
		switch {
		case w.AgeMs >= silent.Milliseconds():
			p.State = Unheard
		case w.InForce == st.Version:
			p.State = InForce
		case w.Refused != 0 && w.Refused == st.Version:
			p.State = Refused
		}
		st.Counts[p.State]++
		if p.State != Unheard {
			if first || w.InForce < st.Lowest {
				st.Lowest = w.InForce
			}
			st.Highest, first = max(st.Highest, w.InForce), false
		}
		if all || p.State != InForce {
			st.Proxies = append(st.Proxies, p)
		}
	}
}
