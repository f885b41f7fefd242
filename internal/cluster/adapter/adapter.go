// Package adapter converts between the reports of package balancer and the observations of package state.
// Only this package knows the wire numbers of kinds and faults. It also translates this proxy's zone numbers
// to zone names, and start times of processes from microseconds to milliseconds. It does not filter reports
// by their content.
package adapter

import (
	"merlinpick/balancer"
	"merlinpick/internal/cluster/state"
)

// stateKinds maps the balancer's kinds to wire kinds.
var stateKinds = [...]state.Kind{
	balancer.ReportServerUnhealthy: state.ServerUnhealthy,
	balancer.ReportServerHealthy:   state.ServerHealthy,
	balancer.ReportZoneUnhealthy:   state.ZoneUnhealthy,
	balancer.ReportZoneHealthy:     state.ZoneHealthy,
	balancer.ReportServerFlap:      state.ServerFlap,
	balancer.ReportServerLoad:      state.ServerLoad,
}

// reportKinds is the inverse of stateKinds.
var reportKinds = func() map[state.Kind]balancer.ReportKind {
	kinds := make(map[state.Kind]balancer.ReportKind, len(stateKinds))
	for kind, stateKind := range stateKinds {
		kinds[stateKind] = balancer.ReportKind(kind)
	}
	return kinds
}()

// wireFaults maps faults to their wire numbers. The numbers are never reused.
var wireFaults = [...]uint8{
	balancer.NoFault:           0,
	balancer.FaultErrors:       1,
	balancer.FaultUnresponsive: 2,
	balancer.FaultSlow:         3,
	balancer.FaultSaturated:    4,
}

// StateKind returns the wire kind of a report's kind.
func StateKind(kind balancer.ReportKind) state.Kind { return stateKinds[kind] }

// ReportKind returns the balancer's kind for a wire kind. ok is false for an override and for kinds of newer
// versions.
func ReportKind(kind state.Kind) (reportKind balancer.ReportKind, ok bool) {
	reportKind, ok = reportKinds[kind]
	return reportKind, ok
}

// WireFault returns the wire number of a fault.
func WireFault(fault balancer.Fault) uint8 { return wireFaults[fault] }

// Fault returns the fault for a wire number. Numbers of newer versions are treated as FaultErrors.
func Fault(number uint8) balancer.Fault {
	for fault, known := range wireFaults {
		if known == number {
			return balancer.Fault(fault)
		}
	}
	return balancer.FaultErrors
}

// IsZoneReport reports whether a kind's subject is a zone.
func IsZoneReport(kind balancer.ReportKind) bool {
	return kind == balancer.ReportZoneUnhealthy || kind == balancer.ReportZoneHealthy
}

const microsecondsPerMillisecond = 1000

// ToObservations converts this proxy's reports. zones maps the names of its zones to their numbers, 0 to
// len(zones)-1. Reports about other zone numbers are omitted.
func ToObservations(reports []balancer.Report, zones map[string]int) []state.Observation {
	zoneNames := make([]string, len(zones))
	for name, number := range zones {
		zoneNames[number] = name
	}
	observations := make([]state.Observation, 0, len(reports))
	for i := range reports {
		r := &reports[i]
		o := state.Observation{Kind: StateKind(r.Kind), Subject: r.Server,
			SubjectStartMs: max(0, r.StartTime/microsecondsPerMillisecond),
			Body:           state.Body{Fault: WireFault(r.Fault), Calls: r.Calls, BadFraction: r.BadFraction, Value: r.Value}}
		if IsZoneReport(r.Kind) {
			if r.SubjectZone >= len(zoneNames) {
				continue
			}
			o.Subject, o.SubjectStartMs = zoneNames[r.SubjectZone], 0
		}
		observations = append(observations, o)
	}
	return observations
}

// ToReports converts the live entries of other members. Entries of unknown kinds are skipped; those about or
// from a zone that this proxy's endpoint list does not contain are skipped and counted in unknownZone. now is
// in microseconds.
func ToReports(now int64, entries []state.Entry, zones map[string]int) (reports []balancer.Report, unknownZone int64) {
	reports = make([]balancer.Report, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		kind, known := ReportKind(e.Kind)
		if !known || e.Withdrawn || e.ExpiresAt() <= now {
			continue
		}
		report, ok := ToReport(kind, e, zones)
		if !ok {
			unknownZone++
			continue
		}
		reports = append(reports, report)
	}
	return reports, unknownZone
}

// ToReport converts an entry. kind is the entry's kind as returned by ReportKind. ok is false if zones does
// not contain the observer's zone or, for a report about a zone, the subject.
func ToReport(kind balancer.ReportKind, e *state.Entry, zones map[string]int) (r balancer.Report, ok bool) {
	observerZone, ok := zones[e.ObserverZone]
	r = balancer.Report{Kind: kind, Fault: Fault(e.Body.Fault), Observer: e.Observer, ObserverZone: observerZone,
		Calls: e.Body.Calls, BadFraction: e.Body.BadFraction, Value: e.Body.Value, LastObserved: e.ObservedAt}
	if !IsZoneReport(kind) {
		r.Server, r.StartTime = e.Subject, e.SubjectStartMs*microsecondsPerMillisecond
		return r, ok
	}
	subjectZone, known := zones[e.Subject]
	r.SubjectZone = subjectZone
	return r, ok && known
}
