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
	dialTimeout  = time.Second
	maxListBytes = 8 << 20 // of an answer of a member
)

// forwardBytes returns a handler that forwards a link's connections unread to a member's own address.
func (s *Service) forwardBytes(to string) func(*link.Conn) {
	return func(c *link.Conn) { _ = link.Forward(c, to, nil) }
}

// relayPolls returns a handler that forwards a proxy's polls to a member, replaces the servers' addresses in
// the answers, and records what the proxy receives.
func (s *Service) relayPolls(proxy, to string) func(*link.Conn) {
	return func(c *link.Conn) {
		defer c.Close()
		client := &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}
		defer client.CloseIdleConnections()
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			s.config.Referee.RecordPoll(proxy)
			status, body, list := s.forward(client, c, "http://"+to+req.URL.RequestURI())
			if status == 0 {
				s.config.Referee.RecordPollFailed(proxy, time.Now())
				c.Reset()
				return
			}
			if list != nil {
				s.setAddresses(proxy, list)
				body = list.Encode()
			}
			recordDelivery := func(at time.Time) {
				if list == nil {
					s.config.Referee.RecordPollFailed(proxy, at)
					return
				}
				s.config.Referee.RecordUpdate(proxy, referee.ListUpdate{Entries: refereeEntries(list), Snapshot: list.Snapshot}, at)
				s.delays.recordReceived(proxy, list, at, s.isHollow)
			}
			if err := c.WriteAfter(wire.JSONResponse(status, body), recordDelivery); err != nil {
				s.config.Referee.RecordPollFailed(proxy, time.Now())
				return
			}
		}
	}
}

// forward calls a member and gives up when the proxy closes its connection. Status 0 means that the call
// failed; list is nil unless the answer is a list.
func (s *Service) forward(client *http.Client, c *link.Conn, url string) (status int, body []byte, list *watch.Response) {
	ctx, cancel := context.WithCancel(context.Background())
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	watchers.Go(func() {
		if c.AwaitPeerClose(stop) {
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
	if body, err = io.ReadAll(io.LimitReader(resp.Body, maxListBytes)); err != nil {
		return 0, nil, nil
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, body, nil
	}
	list = &watch.Response{}
	if err := json.Unmarshal(body, list); err != nil {
		return 0, nil, nil
	}
	return resp.StatusCode, body, list
}

// refereeEntries converts the entries of a list for the referee.
func refereeEntries(list *watch.Response) (out []referee.Entry) {
	for _, e := range list.Endpoints {
		out = append(out, referee.Entry{Server: e.Name, Serving: e.Status == state.StatusServing, Since: e.StartedAtMs})
	}
	return out
}

// setAddresses replaces the servers' addresses in a list by those at which a proxy reaches them. Hollow
// servers are marked as draining instead, since nothing listens at their address.
func (s *Service) setAddresses(proxy string, list *watch.Response) {
	for i, e := range list.Endpoints {
		if s.isHollow(e.Name) {
			if e.Status == state.StatusServing {
				list.Endpoints[i].Status = state.StatusDraining
			}
			continue
		}
		list.Endpoints[i].Address = s.config.ServerAddress(proxy, e.Name)
	}
}

// isHollow reports whether a server, by name, is hollow.
func (s *Service) isHollow(nodo string) bool {
	return s.config.IsHollow != nil && s.config.IsHollow(nodo)
}

// Snapshot returns the list for a proxy's configuration, as JSON and as the referee records it. The JSON
// contains the entries for which include returns true. Both results are nil if no member answers.
func (s *Service) Snapshot(proxy string, include func() bool) (text json.RawMessage, known []referee.Entry) {
	for _, member := range s.members {
		var list watch.Response
		if s.get(member, "/catalog/members", callTimeout, &list) != nil {
			continue
		}
		list.Endpoints = slices.DeleteFunc(list.Endpoints, func(state.Endpoint) bool { return !include() })
		s.setAddresses(proxy, &list)
		return list.Encode(), refereeEntries(&list)
	}
	return nil, nil
}

// notificationDelays records when changes were confirmed by the registry and when each proxy received them.
type notificationDelays struct {
	mu            sync.Mutex
	confirmed     map[string]time.Time            // by key of the change
	received      map[string]map[string]time.Time // by proxy and key of the change
	firstReceived map[string]time.Time            // first update of each proxy
	versions      map[string][]ReceivedVersion    // received by each proxy
}

// ReceivedVersion is a version of the list and the time at which a proxy received it.
type ReceivedVersion struct {
	Version    int64
	ReceivedAt time.Time
}

// ReceivedVersions returns the versions that each proxy received, in order, by proxy name.
func (s *Service) ReceivedVersions() map[string][]ReceivedVersion {
	s.delays.mu.Lock()
	defer s.delays.mu.Unlock()
	return maps.Clone(s.delays.versions)
}

// newNotificationDelays returns an empty record of delays.
func newNotificationDelays() *notificationDelays {
	return &notificationDelays{confirmed: map[string]time.Time{}, received: map[string]map[string]time.Time{},
		firstReceived: map[string]time.Time{}, versions: map[string][]ReceivedVersion{}}
}

// changeKey identifies a change by the server, its new status and the start time of its process.
func changeKey(name, status string, since int64) string {
	return fmt.Sprint(name, " ", status, " ", since)
}

// recordConfirmed records the first confirmation of a change.
func (d *notificationDelays) recordConfirmed(name, status string, since int64, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if key := changeKey(name, status, since); d.confirmed[key].IsZero() {
		d.confirmed[key] = at
	}
}

// recordReceived records the version and the changes that a proxy received. Hollow servers are left out.
func (d *notificationDelays) recordReceived(proxy string, list *watch.Response, at time.Time, hollow func(string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	received := d.received[proxy]
	if received == nil {
		received = map[string]time.Time{}
		d.received[proxy], d.firstReceived[proxy] = received, at
	}
	if steps := d.versions[proxy]; len(steps) == 0 || list.Version > steps[len(steps)-1].Version {
		d.versions[proxy] = append(steps, ReceivedVersion{list.Version, at})
	}
	for _, e := range list.Endpoints {
		if hollow(e.Name) {
			continue
		}
		if key := changeKey(e.Name, e.Status, e.StartedAtMs); received[key].IsZero() {
			received[key] = at
		}
	}
}

// sortedDelays returns in ascending order the delays from each change's confirmation to its receipt by each
// proxy that had received an update before the confirmation. A proxy may never receive a change that a later
// change of the same server overtook.
func (d *notificationDelays) sortedDelays() (out []time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for proxy, received := range d.received {
		for key, at := range d.confirmed {
			if receivedAt, ok := received[key]; ok && at.After(d.firstReceived[proxy]) {
				out = append(out, max(0, receivedAt.Sub(at)))
			}
		}
	}
	slices.Sort(out)
	return out
}
