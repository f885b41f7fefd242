package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"fernlanding/internal/roster/member"
	"fernlanding/internal/roster/state"
)

func readerOf(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return bytes.NewReader(body)
}

// Taken is the answer to a registration, renewal, drain or deregistration.
type Taken struct {
	Index   int64  `json:"index"` // the version in which it is to be seen
	Status  string `json:"status"`
	LeaseMs int64  `json:"lease_ms,omitempty"`
}

// whole reads a call's body, for which there is some time. The limit is off again afterwards: a server-wide one would
// end watches too.
func whole(w http.ResponseWriter, r *http.Request, most int64) ([]byte, bool) {
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(bodyWait))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	_ = c.SetReadDeadline(time.Time{})
	if err != nil {
		fail(w, http.StatusBadRequest, "the body: %v", err)
		return nil, false
	}
	return body, true
}

// read reads a call's body as JSON that has no other keys.
func read(w http.ResponseWriter, r *http.Request, into any) ([]byte, bool) {
	body, ok := whole(w, r, bodyMost)
	if !ok {
		return nil, false
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		fail(w, http.StatusBadRequest, "the body: %v", err)
		return nil, false
	}
	if d.More() {
		fail(w, http.StatusBadRequest, "the body: more than one value")
		return nil, false
	}
	return body, true
}

// ended answers what a command came to, where it is no yes.
func ended(w http.ResponseWriter, end, name string) {
	status, text := http.StatusConflict, ""
	switch end {
	case state.Unknown:
		status, text = http.StatusNotFound, "is not in the list: register it"
	case state.Ended:
		status, text = http.StatusGone, "was deregistered under that instance; a new start has a new one"
	case state.Replaced:
		text = "belongs to another instance, started later"
	case state.Full:
		status, text = http.StatusInsufficientStorage, fmt.Sprintf("has no room: the list has %d nodos", state.NodosMost)
	default:
		text = "was not taken: the leader's program does not know that command"
	}
	answer(w, status, Fault{Error: name + " " + text, End: end})
}

func (s *Server) register(w http.ResponseWriter, r *http.Request, m *member.Member) {
	rec := state.Record{Entry: state.Entry{Weight: 1, Status: state.Serving}}
	body, ok := read(w, r, &rec)
	if !ok {
		return
	}
	name := r.PathValue("name")
	if rec.Name == "" {
		rec.Name = name
	}
	if rec.Name != name {
		fail(w, http.StatusBadRequest, "name: %q in the body, %q in the path", rec.Name, name)
		return
	}
	if err := rec.Check(); err != nil {
		fail(w, http.StatusBadRequest, "%v", err)
		return
	}
	if s.toLeader(w, r, m, body) {
		return
	}
	res, err := m.Do(state.Command{Kind: state.Register, Record: &rec})
	switch {
	case err != nil:
		s.turn(w, err)
	case res.End != state.Done:
		ended(w, res.End, name)
	default:
		answer(w, http.StatusOK, Taken{res.Index, state.Serving, rec.LeaseMs})
	}
}

// instance reads which process of a nodo a call speaks for.
func instance(w http.ResponseWriter, r *http.Request) (ref state.Ref, body []byte, ok bool) {
	ref.Name = r.PathValue("name")
	if r.Method == http.MethodDelete {
		ref.Instance = r.URL.Query().Get("instance")
	} else {
		var in struct {
			Instance string `json:"instance"`
		}
		if body, ok = read(w, r, &in); !ok {
			return ref, nil, false
		}
		ref.Instance = in.Instance
	}
	if ref.Instance == "" {
		fail(w, http.StatusBadRequest, "instance is missing")
		return ref, nil, false
	}
	return ref, body, true
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request, m *member.Member) {
	ref, body, ok := instance(w, r)
	if !ok || s.toLeader(w, r, m, body) {
		return
	}
	rec, index, end, err := m.Renew(ref)
	switch {
	case err != nil:
		s.turn(w, err)
	case end != state.Done:
		ended(w, end, ref.Name)
	default:
		answer(w, http.StatusOK, Taken{index, rec.Status, rec.LeaseMs})
	}
}

func (s *Server) take(kind string) func(http.ResponseWriter, *http.Request, *member.Member) {
	return func(w http.ResponseWriter, r *http.Request, m *member.Member) {
		ref, body, ok := instance(w, r)
		if !ok || s.toLeader(w, r, m, body) {
			return
		}
		res, err := m.Do(state.Command{Kind: kind, Refs: []state.Ref{ref}})
		switch {
		case err != nil:
			s.turn(w, err)
		case res.End != state.Done:
			ended(w, res.End, ref.Name)
		case kind == state.Drain:
			answer(w, http.StatusOK, Taken{Index: res.Index, Status: state.Draining})
		default:
			answer(w, http.StatusOK, Taken{Index: res.Index, Status: state.Deleted})
		}
	}
}

func (s *Server) snapshot(w http.ResponseWriter, r *http.Request, m *member.Member) {
	if err := m.AwaitFresh(r.Context()); err != nil {
		s.turn(w, err)
		return
	}
	var text bytes.Buffer
	if err := m.Image().Write(&text); err != nil {
		fail(w, http.StatusInternalServerError, "%v", err)
		return
	}
	send(w, http.StatusOK, text.Bytes())
}

// Restored is the answer to a restore.
type Restored struct {
	Line  string `json:"line"`
	Index int64  `json:"index"`
	Nodos int    `json:"nodos"`
}

func (s *Server) restore(w http.ResponseWriter, r *http.Request, m *member.Member) {
	body, ok := whole(w, r, state.FileMost)
	if !ok {
		return
	}
	image, err := state.Read(bytes.NewReader(body))
	if err != nil {
		fail(w, http.StatusBadRequest, "%v", err)
		return
	}
	if s.toLeader(w, r, m, body) {
		return
	}
	line, index, err := m.Restore(image)
	var old *member.BuildError
	switch {
	case errors.As(err, &old):
		s.turnOldBuild(w, err)
	case errors.Is(err, member.ErrNotLeading), errors.Is(err, member.ErrUnsure):
		s.turn(w, err)
	case err != nil:
		fail(w, http.StatusInternalServerError, "%v", err)
	default:
		answer(w, http.StatusOK, Restored{line, index, len(image.Records)})
	}
}
