package raftnode

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"merlinpick/internal/registry/state"
)

const (
	peerTimeout      = time.Second
	maxResponseBytes = 64 << 10
)

// Proof is a leader's word on what its list was when a majority confirmed that it leads.
type ReadIndex struct {
	Epoch   string `json:"line"`
	Version int64  `json:"index"`
	Commit  uint64 `json:"commit"` // the consensus's index

	// Configs is the state's ConfigsMark: a put of a configuration makes no version of the list. A leader of a build
	// without configurations has 0, and none.
	Configs uint64 `json:"configs"`
}

// holds tells whether a state has all that a proof is of.
func (p ReadIndex) coveredBy(s *state.State) bool {
	return s.Epoch() == p.Epoch && s.Version() >= p.Version && s.ConfigRevision() >= p.Configs
}

// peers asks the other members, over the address of the list.
type peerClient struct{ client *http.Client }

func newPeerClient(cfg Config) *peerClient {
	return &peerClient{&http.Client{Timeout: peerTimeout, Transport: &http.Transport{MaxConnsPerHost: 4, MaxIdleConnsPerHost: 2,
		IdleConnTimeout: time.Minute, DisableCompression: true}}}
}

func (p *peerClient) get(ctx context.Context, from Peer, path string, most int64, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.API+path, nil)
	if err != nil {
		return err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return fmt.Errorf("ask %s: %w", from.Name, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, most))
	if err != nil {
		return fmt.Errorf("ask %s: %w", from.Name, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("ask %s: %s", from.Name, resp.Status)
	}
	if err := json.Unmarshal(text, out); err != nil {
		return fmt.Errorf("ask %s: %w", from.Name, err)
	}
	return nil
}

func (p *peerClient) readIndex(ctx context.Context, leader Peer) (out ReadIndex, err error) {
	err = p.get(ctx, leader, "/v1/proof", maxResponseBytes, &out)
	return out, err
}

func (p *peerClient) status(ctx context.Context, of Peer) (out Status, err error) {
	err = p.get(ctx, of, "/v1/member", maxResponseBytes, &out)
	if err == nil && out.Name != of.Name {
		err = fmt.Errorf("%s answers as %q: the addresses of the configuration are mixed up", of.Name, out.Name)
	}
	return out, err
}
