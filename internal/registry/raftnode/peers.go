package raftnode

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	peerTimeout      = time.Second
	maxResponseBytes = 64 << 10
)

// peerClient calls the HTTP API of the other members.
type peerClient struct{ http *http.Client }

func newPeerClient() *peerClient {
	return &peerClient{&http.Client{Timeout: peerTimeout, Transport: &http.Transport{MaxConnsPerHost: 4, MaxIdleConnsPerHost: 2,
		IdleConnTimeout: time.Minute, DisableCompression: true}}}
}

// PeerStatusError reports a peer's response with an HTTP status other than 200.
type PeerStatusError struct {
	Member string
	Status string // such as "503 Service Unavailable"
}

// Error returns the member and its HTTP status.
func (e *PeerStatusError) Error() string {
	return fmt.Sprintf("call member %s: %s", e.Member, e.Status)
}

// WrongPeerError reports a peer that answers under another name than the configuration has for its address.
type WrongPeerError struct{ Member, Answered string }

// Error returns both names and the likely cause.
func (e *WrongPeerError) Error() string {
	return fmt.Sprintf("%s answers as %q: the addresses of the configuration are mixed up", e.Member, e.Answered)
}

// get calls a peer's HTTP API and decodes its JSON response of at most maxBytes into out.
func (c *peerClient) get(ctx context.Context, peer Peer, path string, maxBytes int64, out any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.API+path, nil)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("call member %s: %w", peer.Name, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxBytes))
	if err != nil {
		return fmt.Errorf("call member %s: %w", peer.Name, err)
	}
	if response.StatusCode != http.StatusOK {
		return &PeerStatusError{peer.Name, response.Status}
	}
	if err := json.Unmarshal(text, out); err != nil {
		return fmt.Errorf("call member %s: %w", peer.Name, err)
	}
	return nil
}

func (c *peerClient) readIndex(ctx context.Context, leader Peer) (index ReadIndex, err error) {
	err = c.get(ctx, leader, "/v1/proof", maxResponseBytes, &index)
	return index, err
}

func (c *peerClient) status(ctx context.Context, peer Peer) (status Status, err error) {
	err = c.get(ctx, peer, "/v1/member", maxResponseBytes, &status)
	if err == nil && status.Name != peer.Name {
		err = &WrongPeerError{peer.Name, status.Name}
	}
	return status, err
}

// CallPeer sends a GET to another member's HTTP API and decodes the JSON response of at most maxBytes into
// out.
func (n *Node) CallPeer(ctx context.Context, peer Peer, path string, maxBytes int64, out any) error {
	return n.peers.get(ctx, peer, path, maxBytes, out)
}
