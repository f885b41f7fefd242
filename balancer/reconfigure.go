package balancer

import (
	"maps"
	"slices"
)

// Replacing the current settings while what was learned is kept. No decisions are made in this file.

// Reconfigure replaces the settings for all requests that are received from now on; open requests keep the
// settings with which they began. It returns, for each class of s, the number that requests must use for it.
// An unchanged class keeps its number and what was learned. A class with changed rules gets a new number,
// since open requests still use the old one, but keeps what was learned about servers and latencies.
// heldNumbers are class numbers, beside the current ones, that must not be given to another class yet:
// requests that were read but not yet passed to HandleRequest may use them.
//
// An error is always a *SettingsError: the settings are invalid, or they change Tier or WatchEndpoints, which
// can't change while a Balancer runs. In that case the settings stay as they were.
func (b *Balancer) Reconfigure(nowMicros int64, s Settings, heldNumbers map[int]bool) (numbers []int, err error) {
	now := moment(nowMicros)
	if err := s.validate(); err != nil {
		return nil, err
	}
	if s.Tier != b.settings.Tier {
		return nil, &SettingsError{Field: "Tier", Problem: "cannot change while running"}
	}
	if s.WatchEndpoints != b.settings.WatchEndpoints {
		return nil, &SettingsError{Field: "WatchEndpoints", Problem: "cannot change while running"}
	}
	before := b.settings
	numbers = b.replaceClasses(&s, heldNumbers)
	b.settings = &s
	b.quotas.replaceTenants(before)
	b.applySettings()
	if b.settings.RetryBudgetWindow > before.RetryBudgetWindow {
		b.retries.extendWindow(now)
	}
	b.rebuildReady()
	return numbers, nil
}

// replaceClasses gives each class of the settings s a number and reorders s.Classes by these numbers.
func (b *Balancer) replaceClasses(s *Settings, heldNumbers map[int]bool) (numbers []int) {
	before, requested := b.settings.Classes, s.Classes
	held := map[int]bool{}
	maps.Copy(held, heldNumbers)
	previousNumbers := map[string]int{} // numbers by name
	for i, class := range before {
		if !b.classes[i].retired {
			previousNumbers[class.Name], held[i] = i, true
			b.classes[i].retired = true // unless s lists it, see below
		}
	}
	s.Classes = slices.Clone(before)
	for _, class := range requested {
		number, known := previousNumbers[class.Name]
		switch {
		case !known:
			number = b.addClass(s, class, nil, held)
		case before[number] != class:
			number = b.addClass(s, class, &number, held)
		}
		b.classes[number].retired, held[number] = false, true
		numbers = append(numbers, number)
	}
	return numbers
}

// addClass gives a class a free number and returns it. previous is the number of the class that had the same
// name and other rules; nil if there is none.
func (b *Balancer) addClass(s *Settings, rules Class, previous *int, held map[int]bool) int {
	number := b.freeNumber(held)
	if number == len(s.Classes) {
		s.Classes = append(s.Classes, rules)
	}
	s.Classes[number] = rules
	state := b.newClass(rules)
	if previous != nil {
		known := &b.classes[*previous]
		state.admission.limit.max = known.admission.limit.max
		state.latency, state.errorRate = known.latency, known.errorRate
	}
	b.classes[number] = state
	for _, server := range b.members.all {
		server.outlier.resetClass(number, previous)
	}
	return number
}

// freeNumber returns a class number that is used by no current class and no open request and is not in held.
// It adds a new one if there is none.
func (b *Balancer) freeNumber(held map[int]bool) int {
	open := map[int]bool{}
	for _, request := range b.requests {
		open[request.Class] = true
	}
	for number := range b.classes {
		if b.classes[number].retired && !held[number] && !open[number] {
			return number
		}
	}
	b.classes = append(b.classes, classState{})
	for _, server := range b.members.all {
		server.outlier.addClass()
	}
	return len(b.classes) - 1
}
