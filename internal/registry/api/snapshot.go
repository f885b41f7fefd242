package api

import (
	"bytes"
	"errors"
	"net/http"

	"merlinpick/internal/registry/raftnode"
	"merlinpick/internal/registry/state"
)

// snapshot handles GET /v1/snapshot: it responds with the replicated state, read linearizably.
func (s *Server) snapshot(w http.ResponseWriter, r *http.Request, node *raftnode.Node) {
	if err := node.WaitLinearizable(r.Context()); err != nil {
		s.rejectRetryable(w, err)
		return
	}
	var text bytes.Buffer
	if err := node.StateSnapshot().Write(&text); err != nil {
		writeError(w, http.StatusInternalServerError, "%v", err)
		return
	}
	writeBody(w, http.StatusOK, text.Bytes())
}

// Restored is the response to a restore.
type Restored struct {
	Epoch     string `json:"line"`
	Version   int64  `json:"index"`
	Endpoints int    `json:"nodos"`
}

// restore handles POST /v1/restore: it replaces the replicated state by the snapshot in the body.
func (s *Server) restore(w http.ResponseWriter, r *http.Request, node *raftnode.Node) {
	body, ok := readBody(w, r, state.MaxSnapshotBytes)
	if !ok {
		return
	}
	snapshot, err := state.ReadSnapshot(bytes.NewReader(body))
	if err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return
	}
	if s.forwardToLeader(w, r, node, body) {
		return
	}
	epoch, version, err := node.Restore(snapshot)
	var incompatible *raftnode.IncompatibleMemberError
	switch {
	case errors.As(err, &incompatible):
		s.rejectOldBuild(w, err)
	case errors.Is(err, raftnode.ErrNotLeader), errors.Is(err, raftnode.ErrUncertain):
		s.rejectRetryable(w, err)
	case err != nil:
		writeError(w, http.StatusInternalServerError, "%v", err)
	default:
		writeJSON(w, http.StatusOK, Restored{epoch, version, len(snapshot.Records)})
	}
}
