package main

import (
	"fmt"

	"merlinpick/balancer"
	"merlinpick/internal/settings"
)

func (s *session) addInstance(n *newInstance) error {
	if n.Instance == nil || n.Seed == nil || n.Settings == nil || string(n.Settings) == "null" {
		return invalid("new_instance", "who, salt or options is missing")
	}
	site, err := settings.Decode(n.Settings)
	if err != nil {
		return &eventError{"new_instance", fmt.Errorf("options.%w", err)}
	}
	b, err := balancer.New(site.Balancer, *n.Seed)
	if err != nil {
		return &eventError{"new_instance", err}
	}
	s.instances[*n.Instance] = &instance{balancer: b, host: &host{instance: *n.Instance, out: s.encoder}}
	return nil
}

func (s *session) removeInstance(i *instanceOnly) error {
	if _, err := s.find("power_off", i.Instance); err != nil {
		return err
	}
	delete(s.instances, *i.Instance)
	return nil
}

// setList stores an endpoint list under its number, in place of an earlier list with the same number.
func (s *session) setList(l *endpointList) error {
	if l.Number == nil || l.Endpoints == nil {
		return invalid("ledger", "roster_id or elements is missing")
	}
	if *l.Number < 0 || *l.Number >= maxLists {
		return invalid("ledger", "roster_id %d is out of range", *l.Number)
	}
	servers, err := l.servers()
	if err != nil {
		return &eventError{"ledger", err}
	}
	s.lists[*l.Number], s.listGiven[*l.Number] = servers, true
	return nil
}

// updateList passes a stored list to an instance's balancer, or tells it that discovery failed to deliver a
// list.
func (s *session) updateList(u *listUpdate) error {
	to, err := s.find("membership", u.Instance)
	if err != nil {
		return err
	}
	if u.Kind == nil || *u.Kind < 0 || *u.Kind >= len(updateKinds) {
		return invalid("membership", "how is missing or unknown")
	}
	kind := updateKinds[*u.Kind]
	if kind == balancer.UpdateFailed {
		to.balancer.UpdateEndpoints(s.now, to.host, kind, nil)
		return nil
	}
	if u.List == nil || *u.List < 0 || *u.List >= maxLists || !s.listGiven[*u.List] {
		return invalid("membership", "roster_id is missing or unknown")
	}
	to.balancer.UpdateEndpoints(s.now, to.host, kind, s.lists[*u.List])
	return nil
}

func (s *session) handleRequest(r *request) error {
	to, err := s.find("job_in", r.Instance)
	if err != nil {
		return err
	}
	if r.ID == nil || r.Class == nil || r.Deadline == nil {
		return invalid("job_in", "ticket, band or give_up_at_us is missing")
	}
	to.balancer.HandleRequest(s.now, to.host, balancer.Request{ID: *r.ID, Class: *r.Class, Tenant: r.Tenant, Key: r.Key,
		Deadline: *r.Deadline})
	return nil
}

func (s *session) handleOutcome(o *outcome) error {
	to, err := s.find("completed", o.Instance)
	if err != nil {
		return err
	}
	if o.RequestID == nil || o.Attempt == nil || o.Status == nil {
		return invalid("completed", "ticket, go or verdict is missing")
	}
	status, ok := statusByCode[*o.Status]
	if !ok {
		return invalid("completed", "unknown verdict %d", *o.Status)
	}
	to.balancer.HandleOutcome(s.now, to.host, balancer.Outcome{RequestID: *o.RequestID, Attempt: *o.Attempt, Status: status,
		Latency: o.Latency, RequestDone: o.RequestDone})
	return nil
}

func (s *session) handleClientGone(r *requestOnly) error {
	to, err := s.find("withdrawn", r.Instance)
	if err != nil {
		return err
	}
	if r.RequestID == nil {
		return invalid("withdrawn", "ticket is missing")
	}
	to.balancer.HandleClientGone(s.now, to.host, *r.RequestID)
	return nil
}

func (s *session) handleResponseStarted(o *outcome) error {
	to, err := s.find("established", o.Instance)
	if err != nil {
		return err
	}
	if o.RequestID == nil {
		return invalid("established", "ticket is missing")
	}
	to.balancer.HandleResponseStarted(s.now, *o.RequestID)
	return nil
}

func (s *session) handleTimer(t *timer) error {
	to, err := s.find("tick_due", t.Instance)
	if err != nil {
		return err
	}
	if t.Token == nil {
		return invalid("tick_due", "nonce is missing")
	}
	to.balancer.HandleTimer(s.now, to.host, *t.Token)
	return nil
}
