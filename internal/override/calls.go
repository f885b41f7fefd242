package override

import (
	"errors"
	"maps"
	"slices"
	"time"
)

// SuspendServer takes a server out of service until ResumeServer, here or in another process with the same directory. It
// returns once that is stored and in effect. Its errors are *UnknownServerError, *StoreError, *StoreTimeoutError,
// *NotAppliedError and those of Config.Notify; after any but the first the call may be repeated.
func (o *Overrides) SuspendServer(server string) error { return o.changeServer(server, true) }

// ResumeServer ends that, with the same errors. A remote override of the server stays until SetRemote removes it.
func (o *Overrides) ResumeServer(server string) error { return o.changeServer(server, false) }

// ClearLocal removes the stored override of a server that other proxies have resumed, without notifying them.
func (o *Overrides) ClearLocal(server string) error {
	if !o.store.has(server) {
		return nil
	}
	if err := o.store.remove(server); err != nil {
		return err
	}
	return o.reload()
}

// changeServer rejects calls for servers that no list has named and that are not suspended.
func (o *Overrides) changeServer(server string, suspended bool) error {
	if _, zone := zoneOfKey(server); zone || !o.cfg.KnownServers.Has(server) && !o.isSet(server) {
		return &UnknownServerError{server}
	}
	return o.change(server, suspended)
}

// DrainZone takes a zone out of service until RestoreZone, as SuspendServer does a server. Its errors are
// *UnknownZoneError, *LastZoneError and those of SuspendServer.
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
	return o.change(ZoneKey(zone), true)
}

// RestoreZone ends that. Its errors are *UnknownZoneError and those of ResumeServer.
func (o *Overrides) RestoreZone(zone string) error {
	if !o.isKnownZone(zone) {
		return &UnknownZoneError{zone}
	}
	return o.change(ZoneKey(zone), false)
}

func (o *Overrides) isKnownZone(zone string) bool {
	return zone != "" && (o.cfg.KnownZones != nil && o.cfg.KnownZones.Has(zone) || o.isSet(ZoneKey(zone)))
}

// change stores an override or its end, notifies others and returns once it is in effect.
func (o *Overrides) change(id string, suspended bool) error {
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
	return errors.Join(notifyErr, o.reload()) // it is stored, so it takes effect here even if others were not notified
}

// storeInTime changes the store and waits for that for storeTimeout at most. A write that takes longer continues, and Run
// sees its result.
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

// isSet reports whether a server, or a zone by its ZoneKey, is out of service here or by others.
func (o *Overrides) isSet(id string) bool {
	if o.store.has(id) {
		return true
	}
	o.remoteMu.Lock()
	defer o.remoteMu.Unlock()
	return o.remote[id]
}
