package api

import (
	"fmt"
	"net/http"

	"merlinpick/internal/registry/raftnode"
	"merlinpick/internal/registry/state"
)

// Accepted is the response to a registration, renewal, drain or deregistration that took effect.
type Accepted struct {
	Version int64  `json:"index"` // list version in which the effect is visible
	Status  string `json:"status"`
	LeaseMs int64  `json:"lease_ms,omitempty"`
}

// list handles GET /catalog/members: it responds with the whole list or serves a watch of it.
func (s *Server) list(w http.ResponseWriter, r *http.Request, node *raftnode.Node) {
	if r.URL.Query().Has("from") {
		s.watchList(w, r, node)
		return
	}
	if !s.awaitReadable(w, r, node) {
		return
	}
	s.writeList(w, node)
}

// awaitReadable waits, for a call with consistent=1, until the node may serve a linearizable read. If the
// node may not serve its copy of the state, it rejects the call and returns false.
func (s *Server) awaitReadable(w http.ResponseWriter, r *http.Request, node *raftnode.Node) bool {
	if r.URL.Query().Get("consistent") == "1" {
		if err := node.WaitLinearizable(r.Context()); err != nil {
			s.rejectRetryable(w, err)
			return false
		}
	}
	if !node.Serving() {
		s.rejectRetryable(w, raftnode.ErrStale)
		return false
	}
	return true
}

func (s *Server) writeList(w http.ResponseWriter, node *raftnode.Node) {
	s.snapshots.Add(1)
	writeBody(w, http.StatusOK, node.Watches().Snapshot())
}

func (s *Server) watchList(w http.ResponseWriter, r *http.Request, node *raftnode.Node) {
	request, release, ok := s.startWatch(w, r)
	if !ok {
		return
	}
	defer release()
	switch s.awaitEvent(w, r, node, request, node.Version) {
	case watchReset:
		s.writeList(w, node)
	case watchNewer, watchUnchanged:
		s.changes.Add(1)
		writeBody(w, http.StatusOK, node.Watches().ChangesSince(request.from))
	}
}

// writeRejected responds to a command that changed nothing, according to its result code.
func writeRejected(w http.ResponseWriter, code state.ResultCode, name string) {
	status, text := http.StatusConflict, ""
	switch code {
	case state.ResultUnknown:
		status, text = http.StatusNotFound, "is not in the list: register it"
	case state.ResultEnded:
		status, text = http.StatusGone, "was deregistered under that instance; a new start has a new one"
	case state.ResultReplaced:
		text = "belongs to another instance, started later"
	case state.ResultFull:
		status, text = http.StatusInsufficientStorage,
			fmt.Sprintf("has no room: the list has %d nodos", state.MaxEndpoints)
	default:
		text = "was not taken: the leader's program does not know that command"
	}
	writeJSON(w, status, ErrorBody{Error: name + " " + text, Code: code})
}

// readRecord reads a registration from a call's body. If it is invalid, it responds with 400 and returns
// false.
func readRecord(w http.ResponseWriter, r *http.Request) (record state.Record, body []byte, ok bool) {
	record = state.Record{Endpoint: state.Endpoint{Weight: 1, Status: state.StatusServing}}
	if body, ok = readJSON(w, r, &record); !ok {
		return record, nil, false
	}
	name := r.PathValue("name")
	if record.Name == "" {
		record.Name = name
	}
	if record.Name != name {
		writeError(w, http.StatusBadRequest, "name: %q in the body, %q in the path", record.Name, name)
		return record, nil, false
	}
	if err := record.Check(); err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return record, nil, false
	}
	return record, body, true
}

func (s *Server) register(w http.ResponseWriter, r *http.Request, node *raftnode.Node) {
	record, body, ok := readRecord(w, r)
	if !ok || s.forwardToLeader(w, r, node, body) {
		return
	}
	result, err := node.Propose(state.Command{Kind: state.CommandRegister, Record: &record})
	switch {
	case err != nil:
		s.rejectRetryable(w, err)
	case result.Code != state.ResultDone:
		writeRejected(w, result.Code, record.Name)
	default:
		writeJSON(w, http.StatusOK, Accepted{result.Version, state.StatusServing, record.LeaseMs})
	}
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request, node *raftnode.Node) {
	ref, body, ok := readInstanceRef(w, r)
	if !ok || s.forwardToLeader(w, r, node, body) {
		return
	}
	record, version, code, err := node.Renew(ref)
	switch {
	case err != nil:
		s.rejectRetryable(w, err)
	case code != state.ResultDone:
		writeRejected(w, code, ref.Name)
	default:
		writeJSON(w, http.StatusOK, Accepted{version, record.Status, record.LeaseMs})
	}
}

// drainOrDeregister returns a handler that proposes a command of the given kind for the instance that the
// call names.
func (s *Server) drainOrDeregister(kind state.CommandKind) nodeHandler {
	return func(w http.ResponseWriter, r *http.Request, node *raftnode.Node) {
		ref, body, ok := readInstanceRef(w, r)
		if !ok || s.forwardToLeader(w, r, node, body) {
			return
		}
		result, err := node.Propose(state.Command{Kind: kind, Refs: []state.InstanceRef{ref}})
		switch {
		case err != nil:
			s.rejectRetryable(w, err)
		case result.Code != state.ResultDone:
			writeRejected(w, result.Code, ref.Name)
		case kind == state.CommandDrain:
			writeJSON(w, http.StatusOK, Accepted{Version: result.Version, Status: state.StatusDraining})
		default:
			writeJSON(w, http.StatusOK, Accepted{Version: result.Version, Status: state.StatusDeleted})
		}
	}
}

// endpoints responds with all records and, from the leader, the remaining time of their leases.
func (s *Server) endpoints(w http.ResponseWriter, r *http.Request, node *raftnode.Node) {
	if s.forwardToLeader(w, r, node, nil) {
		return
	}
	if err := node.WaitLinearizable(r.Context()); err != nil {
		s.rejectRetryable(w, err)
		return
	}
	writeJSON(w, http.StatusOK, node.Endpoints())
}
