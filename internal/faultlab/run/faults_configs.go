package run

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/result"
	"merlinpick/internal/faultlab/sleep"
)

const (
	configWriteTimeout     = 3 * time.Second // for one answer
	configRetryPause       = 100 * time.Millisecond
	maxConfigWriteDuration = 20 * time.Second // for all attempts of one write
)

// configWrites records the configurations that were written.
type configWrites struct {
	mu        sync.Mutex
	services  map[string]*configuredService
	writes    []result.ConfigWrite
	documents int64 // number so far: each document is different
}

// configuredService is a service whose configuration the lab writes, one write at a time, each based on the version before.
type configuredService struct {
	mu      sync.Mutex
	version int64
}

func (c *configWrites) service(service string) (own *configuredService, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.services == nil {
		c.services = map[string]*configuredService{}
	}
	if c.services[service] == nil {
		c.services[service] = &configuredService{}
	}
	c.documents++
	return c.services[service], c.documents
}

func (c *configWrites) record(p result.ConfigWrite) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes = append(c.writes, p)
}

func (c *configWrites) all() []result.ConfigWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.writes)
}

// configDocument is the hollow proxies' settings with an objective of its own; a faulty one has an invalid repeat class.
func (bed *testbed) configDocument(n int64, faulty bool) ([]byte, error) {
	text, err := bed.hollowSettings()
	if err != nil {
		return nil, err
	}
	var s map[string]any
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, err
	}
	delete(s, "my_zone")
	delete(s, "ordinal")
	for _, p := range s["profiles"].([]any) {
		profile := p.(map[string]any)
		profile["objective_us"] = profile["objective_us"].(float64) + float64(n)
		if faulty {
			profile["repeat"] = "as it likes"
		}
	}
	return json.Marshal(map[string]any{"settings": s})
}

// writeConfigs writes configurations to the list service, each at its time.
func (t *timeline) writeConfigs(ctx context.Context, planned plan.PlannedFault) error {
	return t.eachTarget(ctx, planned, func(target plan.Target) error {
		own, n := t.configs.service(target.Name)
		text, err := t.configDocument(n, planned.Fault.InvalidConfig)
		if err != nil {
			return err
		}
		own.mu.Lock()
		defer own.mu.Unlock()
		put := result.ConfigWrite{Service: target.Name, Faulty: planned.Fault.InvalidConfig, RequestedAt: time.Now().UnixNano()}
		t.writeConfig(ctx, &put, own, text, int(n))
		if ctx.Err() == nil || put.Status != 0 {
			t.configs.record(put)
		}
		return nil
	})
}

// writeConfig writes a configuration to the members in turn until there is a final answer.
func (t *timeline) writeConfig(ctx context.Context, put *result.ConfigWrite, own *configuredService, text []byte, first int) {
	members := len(t.service.Members(nil))
	ctx, cancel := context.WithTimeout(ctx, maxConfigWriteDuration)
	defer cancel()
	for attempt := first; ctx.Err() == nil; attempt++ {
		status, version, err := t.sendConfig(ctx, t.block.member(attempt%members, listPort), put.Service, own.version, text)
		if err == nil {
			put.Status, put.ConfirmedAt = status, time.Now().UnixNano()
			switch status {
			case http.StatusOK:
				own.version, put.Version = version, version
				return
			case http.StatusServiceUnavailable:
			default:
				t.log.Info("configuration rejected", "service", put.Service, "status", status, "faulty", put.Faulty)
				return
			}
		}
		sleep.For(ctx, configRetryPause)
	}
}

func (t *timeline) sendConfig(ctx context.Context, member, service string, after int64, text []byte) (status int, version int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, configWriteTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/config/%s?from=%d", member, service, after)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(text))
	if err != nil {
		return 0, 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, 0, err
	}
	var answer struct {
		Version int64 `json:"version"`
	}
	if resp.StatusCode == http.StatusOK {
		err = json.Unmarshal(body, &answer)
	}
	return resp.StatusCode, answer.Version, err
}
