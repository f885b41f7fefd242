package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"merlinpick/internal/registry/raftnode"
	"merlinpick/internal/registry/state"
)

func bodyReader(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return bytes.NewReader(body)
}

// Taken is the answer to a registration, renewal, drain or deregistration.
type Accepted struct {
	Version int64  `json:"index"` // the version in which it is to be seen
	Status  string `json:"status"`
	LeaseMs int64  `json:"lease_ms,omitempty"`
}

// whole reads a call's body, for which there is some time. The limit is off again afterwards: a server-wide one would
// end watches too.
func readBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, bool) {
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	_ = c.SetReadDeadline(time.Time{})
	if err != nil {
		writeError(w, http.StatusBadRequest, "the body: %v", err)
		return nil, false
	}
	return body, true
}

// read reads a call's body as JSON that has no other keys.
func readJSON(w http.ResponseWriter, r *http.Request, into any) ([]byte, bool) {
	body, ok := readBody(w, r, maxBodyBytes)
	if !ok {
		return nil, false
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, "the body: %v", err)
		return nil, false
	}
	if d.More() {
		writeError(w, http.StatusBadRequest, "the body: more than one value")
		return nil, false
	}
	return body, true
}

// ended answers what a command came to, where it is no yes.
func writeRejected(w http.ResponseWriter, end, name string) {
	status, text := http.StatusConflict, ""
	switch end {
	case state.ResultUnknown:
		status, text = http.StatusNotFound, "is not in the list: register it"
	case state.ResultEnded:
		status, text = http.StatusGone, "was deregistered under that instance; a new start has a new one"
	case state.ResultReplaced:
		text = "belongs to another instance, started later"
	case state.ResultFull:
		status, text = http.StatusInsufficientStorage, fmt.Sprintf("has no room: the list has %d nodos", state.MaxEndpoints)
	default:
		text = "was not taken: the leader's program does not know that command"
	}
	writeJSON(w, status, ErrorBody{Error: name + " " + text, Code: end})
}

func (s *Server) register(w http.ResponseWriter, r *http.Request, m *raftnode.Node) {
	rec := state.Record{Endpoint: state.Endpoint{Weight: 1, Status: state.StatusServing}}
	body, ok := readJSON(w, r, &rec)
	if !ok {
		return
	}
	name := r.PathValue("name")
	if rec.Name == "" {
		rec.Name = name
	}
	if rec.Name != name {
		writeError(w, http.StatusBadRequest, "name: %q in the body, %q in the path", rec.Name, name)
		return
	}
	if err := rec.Check(); err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return
	}
	if s.forwardToLeader(w, r, m, body) {
		return
	}
	res, err := m.Propose(state.Command{Kind: state.CommandRegister, Record: &rec})
	switch {
	case err != nil:
		s.rejectRetryable(w, err)
	case res.Code != state.ResultDone:
		writeRejected(w, res.Code, name)
	default:
		writeJSON(w, http.StatusOK, Accepted{res.Version, state.StatusServing, rec.LeaseMs})
	}
}

// instance reads which process of a nodo a call speaks for.
func readInstanceRef(w http.ResponseWriter, r *http.Request) (ref state.InstanceRef, body []byte, ok bool) {
	ref.Name = r.PathValue("name")
	if r.Method == http.MethodDelete {
		ref.Instance = r.URL.Query().Get("instance")
	} else {
		var in struct {
			Instance string `json:"instance"`
		}
		if body, ok = readJSON(w, r, &in); !ok {
			return ref, nil, false
		}
		ref.Instance = in.Instance
	}
	if ref.Instance == "" {
		writeError(w, http.StatusBadRequest, "instance is missing")
		return ref, nil, false
	}
	return ref, body, true
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request, m *raftnode.Node) {
	ref, body, ok := readInstanceRef(w, r)
	if !ok || s.forwardToLeader(w, r, m, body) {
		return
	}
	rec, index, end, err := m.Renew(ref)
	switch {
	case err != nil:
		s.rejectRetryable(w, err)
	case end != state.ResultDone:
		writeRejected(w, end, ref.Name)
	default:
		writeJSON(w, http.StatusOK, Accepted{index, rec.Status, rec.LeaseMs})
	}
}

func (s *Server) drainOrDeregister(kind string) func(http.ResponseWriter, *http.Request, *raftnode.Node) {
	return func(w http.ResponseWriter, r *http.Request, m *raftnode.Node) {
		ref, body, ok := readInstanceRef(w, r)
		if !ok || s.forwardToLeader(w, r, m, body) {
			return
		}
		res, err := m.Propose(state.Command{Kind: kind, Refs: []state.InstanceRef{ref}})
		switch {
		case err != nil:
			s.rejectRetryable(w, err)
		case res.Code != state.ResultDone:
			writeRejected(w, res.Code, ref.Name)
		case kind == state.CommandDrain:
			writeJSON(w, http.StatusOK, Accepted{Version: res.Version, Status: state.StatusDraining})
		default:
			writeJSON(w, http.StatusOK, Accepted{Version: res.Version, Status: state.StatusDeleted})
		}
	}
}

func (s *Server) snapshot(w http.ResponseWriter, r *http.Request, m *raftnode.Node) {
	if err := m.WaitLinearizable(r.Context()); err != nil {
		s.rejectRetryable(w, err)
		return
	}
	var text bytes.Buffer
	if err := m.StateSnapshot().Write(&text); err != nil {
		writeError(w, http.StatusInternalServerError, "%v", err)
		return
	}
	writeBody(w, http.StatusOK, text.Bytes())
}

// Restored is the answer to a restore.
type Restored struct {
	Epoch     string `json:"line"`
	Version   int64  `json:"index"`
	Endpoints int    `json:"nodos"`
}

func (s *Server) restore(w http.ResponseWriter, r *http.Request, m *raftnode.Node) {
	body, ok := readBody(w, r, state.MaxSnapshotBytes)
	if !ok {
		return
	}
	image, err := state.ReadSnapshot(bytes.NewReader(body))
	if err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return
	}
	if s.forwardToLeader(w, r, m, body) {
		return
	}
	line, index, err := m.Restore(image)
	var old *raftnode.IncompatibleMemberError
	switch {
	case errors.As(err, &old):
		s.rejectOldBuild(w, err)
	case errors.Is(err, raftnode.ErrNotLeader), errors.Is(err, raftnode.ErrUncertain):
		s.rejectRetryable(w, err)
	case err != nil:
		writeError(w, http.StatusInternalServerError, "%v", err)
	default:
		writeJSON(w, http.StatusOK, Restored{line, index, len(image.Records)})
	}
}
