package proxy

import (
	"slices"

	"merlinpick/balancer"
	"merlinpick/internal/settings"
)

// view is what the settings in force tell of requests. It does not change: others take its place, and each request
// keeps the one that it was read by.
type settingsSnapshot struct {
	balancer *balancer.Settings // with classes by the module's numbers
	classes  map[string]int     // those numbers
	tenants  map[string]int
	readers  int // requests that it is read by; guarded by the frontend's mu
}

func newSettingsSnapshot(site *settings.Site, rules *balancer.Settings, numbers []int) *settingsSnapshot {
	v := &settingsSnapshot{balancer: rules, classes: map[string]int{}, tenants: map[string]int{}}
	for i, name := range site.Classes {
		v.classes[name] = numbers[i]
	}
	for i, name := range site.Tenants {
		v.tenants[name] = i
	}
	return v
}

// read takes the view in force, for one request; done gives it back.
func (f *frontend) acquireSettings() *settingsSnapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings.readers++
	return f.settings
}

func (f *frontend) releaseSettings(v *settingsSnapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v.readers--
}

// classes are those in force.
func (f *frontend) currentClasses() []balancer.Class {
	v := f.acquireSettings()
	defer f.releaseSettings(v)
	var all []balancer.Class
	for _, n := range v.classes {
		all = append(all, v.balancer.Classes[n])
	}
	return all
}

// held tells which of the module's class numbers requests may still have that were read by former views.
func (f *frontend) classesInUse() map[int]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settingsInUse = slices.DeleteFunc(f.settingsInUse, func(v *settingsSnapshot) bool { return v != f.settings && v.readers == 0 })
	held := map[int]bool{}
	for _, v := range f.settingsInUse {
		for _, n := range v.classes {
			held[n] = true
		}
	}
	return held
}

// turn puts a view in force.
func (f *frontend) setSettings(v *settingsSnapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = v
	f.settingsInUse = append(f.settingsInUse, v)
}
