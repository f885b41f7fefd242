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
	s.lists[*l.Number], s.listSet[*l.Number] = servers, true
	return nil
}

// updateList passes a stored list to an instance's balancer, or tells it that discovery failed to deliver a
// list.
func (s *session) updateList(u *listUpdate) error {
	target, err := s.find("membership", u.Instance)
	if err != nil {
		return err
	}
	if u.Kind == nil || *u.Kind < 0 || *u.Kind >= len(updateKinds) {
		return invalid("membership", "how is missing or unknown")
	}
	kind := updateKinds[*u.Kind]
	if kind == balancer.UpdateFailed {
		target.balancer.UpdateEndpoints(s.now, target.host, kind, nil)
		return nil
	}
	if u.List == nil || *u.List < 0 || *u.List >= maxLists || !s.listSet[*u.List] {
		return invalid("membership", "roster_id is missing or unknown")
	}
	target.balancer.UpdateEndpoints(s.now, target.host, kind, s.lists[*u.List])
	return nil
}

func (s *session) handleRequest(r *request) error {
	target, err := s.find("job_in", r.Instance)
	if err != nil {
		return err
	}
	if r.ID == nil || r.Class == nil || r.Deadline == nil {
		return invalid("job_in", "ticket, band or give_up_at_us is missing")
	}
	target.balancer.HandleRequest(s.now, target.host, balancer.Request{ID: *r.ID, Class: *r.Class,
		Tenant: r.Tenant, Key: r.Key, Deadline: *r.Deadline})
	return nil
}

func (s *session) handleOutcome(o *outcome) error {
	target, err := s.find("completed", o.Instance)
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
	target.balancer.HandleOutcome(s.now, target.host, balancer.Outcome{RequestID: *o.RequestID,
		Attempt: *o.Attempt, Status: status, Latency: o.Latency, RequestDone: o.RequestDone})
	return nil
}

func (s *session) handleClientGone(r *requestOnly) error {
	target, err := s.find("withdrawn", r.Instance)
	if err != nil {
		return err
	}
	if r.RequestID == nil {
		return invalid("withdrawn", "ticket is missing")
	}
	target.balancer.HandleClientGone(s.now, target.host, *r.RequestID)
	return nil
}

func (s *session) handleResponseStarted(o *outcome) error {
	target, err := s.find("established", o.Instance)
	if err != nil {
		return err
	}
	if o.RequestID == nil {
		return invalid("established", "ticket is missing")
	}
	target.balancer.HandleResponseStarted(s.now, *o.RequestID)
	return nil
}

func (s *session) handleTimer(t *timer) error {
	target, err := s.find("tick_due", t.Instance)
	if err != nil {
		return err
	}
	if t.Token == nil {
		return invalid("tick_due", "nonce is missing")
	}
	target.balancer.HandleTimer(s.now, target.host, *t.Token)
	return nil
}
