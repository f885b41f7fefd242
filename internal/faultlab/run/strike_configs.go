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
	maxConfigWriteDuration = 20 * time.Second // for all tries of one put
)

// configs is what was put of services' configurations.
type configWrites struct {
	mu        sync.Mutex
	services  map[string]*configuredService
	writes    []result.ConfigWrite
	documents int64 // documents so far: no two are alike
}

// configured is a service whose configuration the lab puts: one put at a time, each after the one before.
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

// document is the hollow proxies' settings with an objective of its own. A faulty one repeats calls in a way that there is not.
func (bed *testbed) configDocument(n int64, faulty bool) ([]byte, error) {
	told, err := bed.hollowSettings()
	if err != nil {
		return nil, err
	}
	var s map[string]any
	if err := json.Unmarshal(told, &s); err != nil {
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

// putConfigs puts configurations at the members, each at its turn.
func (t *timeline) writeConfigs(ctx context.Context, strike plan.Strike) error {
	return t.eachTarget(ctx, strike, func(turn plan.Turn) error {
		own, n := t.configs.service(turn.Target)
		text, err := t.configDocument(n, strike.Fault.Faulty)
		if err != nil {
			return err
		}
		own.mu.Lock()
		defer own.mu.Unlock()
		put := result.ConfigWrite{Service: turn.Target, Faulty: strike.Fault.Faulty, RequestedAt: time.Now().UnixNano()}
		t.writeConfig(ctx, &put, own, text, int(n))
		if ctx.Err() == nil || put.Status != 0 {
			t.configs.record(put)
		}
		return nil
	})
}

// putConfig puts one, first at the member whose turn it is, and at the next one while there is no final answer.
func (t *timeline) writeConfig(ctx context.Context, put *result.ConfigWrite, own *configuredService, text []byte, first int) {
	members := len(t.service.Targets(nil))
	ctx, cancel := context.WithTimeout(ctx, maxConfigWriteDuration)
	defer cancel()
	for try := first; ctx.Err() == nil; try++ {
		status, version, err := t.sendConfig(ctx, t.block.member(try%members, listPort), put.Service, own.version, text)
		if err == nil {
			put.Status, put.ConfirmedAt = status, time.Now().UnixNano()
			switch status {
			case http.StatusOK:
				own.version, put.Version = version, version
				return
			case http.StatusServiceUnavailable:
			default:
				t.log.Info("a configuration was not taken", "service", put.Service, "status", status, "faulty", put.Faulty)
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
	var told struct {
		Version int64 `json:"version"`
	}
	if resp.StatusCode == http.StatusOK {
		err = json.Unmarshal(body, &told)
	}
	return resp.StatusCode, told.Version, err
}
