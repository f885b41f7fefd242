package raftnode

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Errors of calls to peers name the member and have distinct types.
func TestPeerErrors(t *testing.T) {
	status, body := http.StatusOK, `{"name":"r2","configs":true}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	node := &Node{cfg: Config{Name: "r1"}, peers: newPeerClient()}
	peer := Peer{Name: "r2", API: strings.TrimPrefix(server.URL, "http://")}
	if err := node.SupportsConfigs(t.Context(), peer); err != nil {
		t.Error(err)
	}

	var incompatible *IncompatibleMemberError
	body = `{"name":"r2"}`
	if err := node.SupportsConfigs(t.Context(), peer); !errors.As(err, &incompatible) || incompatible.Member != "r2" || incompatible.Cause != nil {
		t.Errorf("a build without configurations: %v", err)
	}
	var wrongPeer *WrongPeerError
	body = `{"name":"r3","configs":true}`
	if err := node.SupportsConfigs(t.Context(), peer); !errors.As(err, &wrongPeer) || *wrongPeer != (WrongPeerError{"r2", "r3"}) {
		t.Errorf("a response under another name: %v", err)
	}
	var peerStatus *PeerStatusError
	status = http.StatusServiceUnavailable
	if err := node.SupportsConfigs(t.Context(), peer); !errors.As(err, &peerStatus) || *peerStatus != (PeerStatusError{"r2", "503 Service Unavailable"}) {
		t.Errorf("a response with status 503: %v", err)
	}
	var unknown *UnknownMemberError
	if _, err := (peerAddresses{peer}).ServerAddr("r9"); !errors.As(err, &unknown) || unknown.Member != "r9" {
		t.Errorf("a member that is not configured: %v", err)
	}
}
