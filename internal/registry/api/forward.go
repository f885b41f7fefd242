package api

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"merlinpick/internal/registry/raftnode"
	"merlinpick/internal/registry/state"
)

const (
	forwardTimeout  = 4 * time.Second
	forwardedHeader = "Roster-Passed" // marks a forwarded call, which is not forwarded again
)

func newForwardClient() *http.Client {
	return &http.Client{Timeout: forwardTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 8, MaxConnsPerHost: 64,
		IdleConnTimeout: idleTimeout, DisableCompression: true}}
}

// forwardToLeader forwards a call if another member leads, and reports whether it has responded to the call.
// False does not mean that this member leads: the node finds that out when it proposes a command.
func (s *Server) forwardToLeader(w http.ResponseWriter, r *http.Request, node *raftnode.Node, body []byte) bool {
	leader, ok := node.Leader()
	if ok && leader.Name == s.cfg.Name {
		return false
	}
	if !ok || leader.API == "" || r.Header.Get(forwardedHeader) != "" {
		s.rejectRetryable(w, raftnode.ErrNoLeader)
		return true
	}
	s.forwarded.Add(1)
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+leader.API+r.URL.RequestURI(), bodyReader(body))
	if err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return true
	}
	request.Header.Set(forwardedHeader, s.cfg.Name)
	response, err := s.forwardClient.Do(request)
	if err != nil {
		s.rejectRetryable(w, uncertainError(leader, err))
		return true
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, state.MaxSnapshotBytes))
	if err != nil {
		s.rejectRetryable(w, uncertainError(leader, err))
		return true
	}
	if after := response.Header.Get("Retry-After"); after != "" {
		w.Header().Set("Retry-After", after)
	}
	writeBody(w, response.StatusCode, text)
	return true
}

func uncertainError(leader raftnode.Peer, err error) error {
	return fmt.Errorf("%w (the leader, %s: %w)", raftnode.ErrUncertain, leader.Name, err)
}

func bodyReader(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return bytes.NewReader(body)
}
