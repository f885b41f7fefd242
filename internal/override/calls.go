package override

import (
	"errors"
	"maps"
	"slices"
	"time"
)

// SuspendServer takes a server out of service until ResumeServer is called, here or in another process that
// uses the same directory. It returns once the override is stored and in effect. It returns an
// *UnknownServerError, *StoreError, *StoreTimeoutError, *NotAppliedError or an error of Config.Notify. After
// any of them but the first the call may be repeated.
func (o *Overrides) SuspendServer(server string) error { return o.setServerSuspended(server, true) }

// ResumeServer returns a server to service, with the same errors as SuspendServer. A remote override of the
// server stays in effect until SetRemote removes it.
func (o *Overrides) ResumeServer(server string) error { return o.setServerSuspended(server, false) }

// ClearLocal removes the stored override of a server that other proxies have resumed. It does not notify
// them.
func (o *Overrides) ClearLocal(server string) error {
	if !o.store.has(server) {
		return nil
	}
	if err := o.store.remove(server); err != nil {
		return err
	}
	return o.reload()
}

// setServerSuspended suspends or resumes a server. It rejects servers that no list has named and that are not
// suspended.
func (o *Overrides) setServerSuspended(server string, suspended bool) error {
	if _, zone := zoneOfKey(server); zone || !o.cfg.KnownServers.Has(server) && !o.isSuspended(server) {
		return &UnknownServerError{server}
	}
	return o.setSuspended(server, suspended)
}

// DrainZone takes a zone out of service until RestoreZone is called, as SuspendServer does for a server. It
// returns an *UnknownZoneError, a *LastZoneError or an error of SuspendServer.
func (o *Overrides) DrainZone(zone string) error {
	o.drainMu.Lock() // two concurrent calls must not drain the last two zones
	defer o.drainMu.Unlock()
	if !o.isKnownZone(zone) {
		return &UnknownZoneError{zone}
	}
	stored, err := o.store.load()
	if err != nil {
		return err
	}
	_, drained := SplitZones(o.withRemote(stored))
	if !drained[zone] && len(o.cfg.ServingZones()) > 0 {
		left := maps.Clone(o.cfg.ServingZones())
		maps.DeleteFunc(left, func(name string, _ bool) bool { return name == zone || drained[name] })
		if len(left) == 0 {
			return &LastZoneError{zone, slices.Sorted(maps.Keys(drained))}
		}
	}
	return o.setSuspended(ZoneKey(zone), true)
}

// RestoreZone returns a zone to service. It returns an *UnknownZoneError or an error of ResumeServer.
func (o *Overrides) RestoreZone(zone string) error {
	if !o.isKnownZone(zone) {
		return &UnknownZoneError{zone}
	}
	return o.setSuspended(ZoneKey(zone), false)
}

func (o *Overrides) isKnownZone(zone string) bool {
	return zone != "" &&
		(o.cfg.KnownZones != nil && o.cfg.KnownZones.Has(zone) || o.isSuspended(ZoneKey(zone)))
}

// setSuspended stores or removes an override, notifies other proxies and returns once the change is in
// effect.
func (o *Overrides) setSuspended(id string, suspended bool) error {
	write := o.store.remove
	if suspended {
		write = o.store.add
	}
	if err := o.storeInTime(id, write); err != nil {
		return err
	}
	var notifyErr error
	if o.cfg.Notify != nil {
		notifyErr = o.cfg.Notify(id, suspended)
	}
	// The change is stored, so it takes effect here even if other proxies were not notified.
	return errors.Join(notifyErr, o.reload())
}

// storeInTime changes the store and waits at most storeTimeout for the write. A slower write continues in the
// background, and Run sees its result.
func (o *Overrides) storeInTime(id string, write func(string) error) error {
	select {
	case o.pendingWrites <- struct{}{}:
	default:
		return &StoreTimeoutError{storeTimeout}
	}
	done := make(chan error, 1)
	go func() {
		defer func() { <-o.pendingWrites }()
		done <- write(id)
	}()
	timeout := time.NewTimer(storeTimeout)
	defer timeout.Stop()
	select {
	case err := <-done:
		return err
	case <-timeout.C:
		return &StoreTimeoutError{storeTimeout}
	}
}

// isSuspended reports whether a server, or a zone given by its ZoneKey, is out of service by a local or
// remote override.
func (o *Overrides) isSuspended(id string) bool {
	if o.store.has(id) {
		return true
	}
	o.remoteMu.Lock()
	defer o.remoteMu.Unlock()
	return o.remote[id]
}
