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
	configWriteTimeout     = 3 * time.Second // for the response to one request
	configRetryPause       = 100 * time.Millisecond
	maxConfigWriteDuration = 20 * time.Second // for all attempts of one write
)

// configWrites records the configurations that the lab wrote.
type configWrites struct {
	mu        sync.Mutex
	services  map[string]*configuredService
	writes    []result.ConfigWrite
	documents int64 // number of documents so far, which makes each document different
}

// configuredService is a service whose configuration the lab writes, one write at a time, each based on the
// previous version.
type configuredService struct {
	mu      sync.Mutex
	version int64
}

// service returns the state of a service, and the number of its next document.
func (c *configWrites) service(service string) (state *configuredService, n int64) {
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

// configDocument returns the hollow proxies' settings with objectives that are unique to document n. A faulty
// document has an invalid `repeat`.
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

// writeConfigs writes configurations to the list service, each at its planned time.
func (t *timeline) writeConfigs(ctx context.Context, planned plan.PlannedFault) error {
	return t.eachTarget(ctx, planned, func(target plan.Target) error {
		configured, n := t.configs.service(target.Name)
		text, err := t.configDocument(n, planned.Fault.InvalidConfig)
		if err != nil {
			return err
		}
		configured.mu.Lock()
		defer configured.mu.Unlock()
		write := result.ConfigWrite{Service: target.Name, Faulty: planned.Fault.InvalidConfig,
			RequestedAt: time.Now().UnixNano()}
		t.writeConfig(ctx, &write, configured, text, int(n))
		if ctx.Err() == nil || write.Status != 0 {
			t.configs.record(write)
		}
		return nil
	})
}

// writeConfig sends a configuration to the members in turn, starting with member first, until one gives a
// final response.
func (t *timeline) writeConfig(ctx context.Context, write *result.ConfigWrite, configured *configuredService,
	text []byte, first int) {
	members := len(t.service.Members(nil))
	ctx, cancel := context.WithTimeout(ctx, maxConfigWriteDuration)
	defer cancel()
	for attempt := first; ctx.Err() == nil; attempt++ {
		status, version, err := t.sendConfig(ctx, t.block.member(attempt%members, listPort), write.Service,
			configured.version, text)
		if err == nil {
			write.Status, write.ConfirmedAt = status, time.Now().UnixNano()
			switch status {
			case http.StatusOK:
				configured.version, write.Version = version, version
				return
			case http.StatusServiceUnavailable:
			default:
				t.log.Info("configuration rejected by the list service", "service", write.Service,
					"status", status, "faulty", write.Faulty)
				return
			}
		}
		sleep.For(ctx, configRetryPause)
	}
}

// sendConfig sends a configuration that follows version after to a member, and returns the response's status
// and version.
func (t *timeline) sendConfig(ctx context.Context, member, service string, after int64, text []byte) (
	status int, version int64, err error) {
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
