package service

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/referee"
	"merlinpick/internal/faultlab/wire"
	"merlinpick/internal/registry/state"
	"merlinpick/internal/registry/watch"
)

const (
	dialWait = time.Second
	maxList  = 8 << 20
)

// pass hands what comes over a link on to a member's own address, unread.
func (s *Service) pass(to string) func(*link.Conn) {
	return func(c *link.Conn) { _ = link.Pass(c, to, nil) }
}

// tell hands a proxy's calls on, and notes what it is told.
func (s *Service) tell(proxy, to string) func(*link.Conn) {
	return func(c *link.Conn) {
		defer c.Close()
		client := &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: (&net.Dialer{Timeout: dialWait}).DialContext}}
		defer client.CloseIdleConnections()
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			s.cfg.Ref.RecordPoll(proxy)
			status, body, list := s.forward(client, c, "http://"+to+req.URL.RequestURI())
			if status == 0 {
				s.cfg.Ref.RecordPollFailed(proxy, time.Now())
				c.Reset()
				return
			}
			if list != nil {
				s.readdress(proxy, list)
				body = list.Encode()
			}
			note := func(at time.Time) {
				if list == nil {
					s.cfg.Ref.RecordPollFailed(proxy, at)
					return
				}
				s.cfg.Ref.RecordUpdate(proxy, referee.ListUpdate{Entries: entries(list), Snapshot: list.Snapshot}, at)
				s.delays.told(proxy, list, at, s.hollow)
			}
			if err := c.NoteThenWrite(wire.JSONResponse(status, body), note); err != nil {
				s.cfg.Ref.RecordPollFailed(proxy, time.Now())
				return
			}
		}
	}
}

// forward makes a call of a member, until the caller has gone; status 0 is a call that failed.
func (s *Service) forward(client *http.Client, c *link.Conn, url string) (status int, body []byte, l *watch.Response) {
	ctx, cancel := context.WithCancel(context.Background())
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	watchers.Go(func() {
		if c.AwaitEnd(stop) {
			cancel()
		}
	})
	defer watchers.Wait()
	defer close(stop)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return http.StatusBadRequest, nil, nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, nil
	}
	defer resp.Body.Close()
	if body, err = io.ReadAll(io.LimitReader(resp.Body, maxList)); err != nil {
		return 0, nil, nil
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, body, nil
	}
	l = &watch.Response{}
	if err := json.Unmarshal(body, l); err != nil {
		return 0, nil, nil
	}
	return resp.StatusCode, body, l
}

func entries(l *watch.Response) (out []referee.Entry) {
	for _, e := range l.Endpoints {
		out = append(out, referee.Entry{Server: e.Name, Serving: e.Status == state.StatusServing, Since: e.StartedAtMs})
	}
	return out
}

// readdress has a list say where a proxy finds the servers.
func (s *Service) readdress(proxy string, l *watch.Response) {
	for i, e := range l.Endpoints {
		if s.hollow(e.Name) {
			if e.Status == state.StatusServing {
				l.Endpoints[i].Status = state.StatusDraining // nobody would answer there
			}
			continue
		}
		l.Endpoints[i].Address = s.cfg.Address(proxy, e.Name)
	}
}

func (s *Service) hollow(nodo string) bool { return s.cfg.Hollow != nil && s.cfg.Hollow(nodo) }

// Snapshot is the list as a proxy is told it at its start, with what the referee notes of it.
func (s *Service) Snapshot(proxy string, keep func() bool) (text json.RawMessage, told []referee.Entry) {
	for _, m := range s.members {
		var l watch.Response
		if s.get(m, "/catalog/members", callWait, &l) != nil {
			continue
		}
		l.Endpoints = slices.DeleteFunc(l.Endpoints, func(state.Endpoint) bool { return !keep() })
		s.readdress(proxy, &l)
		return l.Encode(), entries(&l)
	}
	return nil, nil
}

// delays is how late proxies are told what was confirmed.
type delays struct {
	mu        sync.Mutex
	confirmed map[string]time.Time            // by change
	heard     map[string]map[string]time.Time // by proxy and change
	since     map[string]time.Time            // that each proxy hears anything
	steps     map[string][]Step               // versions that each proxy was told
}

// Step is a version of the list, and when it was told.
type Step struct {
	Index int64
	At    time.Time
}

// Steps are the versions that each proxy was told, in order.
func (s *Service) Steps() map[string][]Step {
	s.delays.mu.Lock()
	defer s.delays.mu.Unlock()
	return maps.Clone(s.delays.steps)
}

func newDelays() *delays {
	return &delays{confirmed: map[string]time.Time{}, heard: map[string]map[string]time.Time{},
		since: map[string]time.Time{}, steps: map[string][]Step{}}
}

func change(name, status string, since int64) string {
	return fmt.Sprint(name, " ", status, " ", since)
}

func (d *delays) confirm(name, status string, since int64, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if key := change(name, status, since); d.confirmed[key].IsZero() {
		d.confirmed[key] = at
	}
}

func (d *delays) told(proxy string, l *watch.Response, at time.Time, hollow func(string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	of := d.heard[proxy]
	if of == nil {
		of = map[string]time.Time{}
		d.heard[proxy], d.since[proxy] = of, at
	}
	if steps := d.steps[proxy]; len(steps) == 0 || l.Version > steps[len(steps)-1].Index {
		d.steps[proxy] = append(steps, Step{l.Version, at})
	}
	for _, e := range l.Endpoints {
		if hollow(e.Name) {
			continue
		}
		if key := change(e.Name, e.Status, e.StartedAtMs); of[key].IsZero() {
			of[key] = at
		}
	}
}

// sum tells the delays of all changes to all proxies that were there when they were confirmed. A change that another
// overtook need not be told.
func (d *delays) sum() (out []time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for proxy, of := range d.heard {
		for key, at := range d.confirmed {
			if t, ok := of[key]; ok && at.After(d.since[proxy]) {
				out = append(out, max(0, t.Sub(at)))
			}
		}
	}
	slices.Sort(out)
	return out
}
