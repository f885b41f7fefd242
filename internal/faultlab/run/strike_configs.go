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
	putWait        = 3 * time.Second // for one answer
	putPause       = 100 * time.Millisecond
	maxPutDuration = 20 * time.Second // for all tries of one put
)

// configs is what was put of services' configurations.
type configs struct {
	mu       sync.Mutex
	services map[string]*configured
	puts     []result.ConfigWrite
	n        int64 // documents so far: no two are alike
}

// configured is a service whose configuration the lab puts: one put at a time, each after the one before.
type configured struct {
	mu      sync.Mutex
	version int64
}

func (c *configs) of(service string) (own *configured, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.services == nil {
		c.services = map[string]*configured{}
	}
	if c.services[service] == nil {
		c.services[service] = &configured{}
	}
	c.n++
	return c.services[service], c.n
}

func (c *configs) note(p result.ConfigWrite) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.puts = append(c.puts, p)
}

func (c *configs) done() []result.ConfigWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.puts)
}

// document is the hollow proxies' settings with an objective of its own. A faulty one repeats calls in a way that there is not.
func (f *fleet) document(n int64, faulty bool) ([]byte, error) {
	told, err := f.hollowSettings()
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
func (t *timeline) putConfigs(ctx context.Context, s plan.Strike) error {
	return t.each(ctx, s, func(turn plan.Turn) error {
		own, n := t.configs.of(turn.Target)
		text, err := t.document(n, s.Fault.Faulty)
		if err != nil {
			return err
		}
		own.mu.Lock()
		defer own.mu.Unlock()
		put := result.ConfigWrite{Service: turn.Target, Faulty: s.Fault.Faulty, RequestedAt: time.Now().UnixNano()}
		t.putConfig(ctx, &put, own, text, int(n))
		if ctx.Err() == nil || put.Status != 0 {
			t.configs.note(put)
		}
		return nil
	})
}

// putConfig puts one, first at the member whose turn it is, and at the next one while there is no final answer.
func (t *timeline) putConfig(ctx context.Context, put *result.ConfigWrite, own *configured, text []byte, first int) {
	members := len(t.service.Targets(nil))
	ctx, cancel := context.WithTimeout(ctx, maxPutDuration)
	defer cancel()
	for try := first; ctx.Err() == nil; try++ {
		status, version, err := t.askPut(ctx, t.block.member(try%members, listPort), put.Service, own.version, text)
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
		sleep.For(ctx, putPause)
	}
}

func (t *timeline) askPut(ctx context.Context, member, service string, after int64, text []byte) (status int, version int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, putWait)
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
