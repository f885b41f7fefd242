package downstream

import (
	"slices"

	"merlinpick/balancer"
	"merlinpick/internal/settings"
)

// settingsSnapshot is what the settings in force mean for requests. It does not change: others take its place, and each request
// keeps the one that it was parsed by.
type settingsSnapshot struct {
	balancer *balancer.Settings // with classes by the balancer's numbers
	classes  map[string]int     // those numbers by name
	tenants  map[string]int
	readers  int // requests that keep it; guarded by the Server's mu
}

func newSettingsSnapshot(site *settings.Site, s *balancer.Settings, classNumbers []int) *settingsSnapshot {
	v := &settingsSnapshot{balancer: s, classes: map[string]int{}, tenants: map[string]int{}}
	for i, name := range site.Classes {
		v.classes[name] = classNumbers[i]
	}
	for i, name := range site.Tenants {
		v.tenants[name] = i
	}
	return v
}

// acquireSettings gives a request the settings in force; releaseSettings gives them back.
func (f *Server) acquireSettings() *settingsSnapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings.readers++
	return f.settings
}

func (f *Server) releaseSettings(s *settingsSnapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.readers--
}

// CurrentClasses are the classes in force.
func (f *Server) CurrentClasses() []balancer.Class {
	s := f.acquireSettings()
	defer f.releaseSettings(s)
	var classes []balancer.Class
	for _, number := range s.classes {
		classes = append(classes, s.balancer.Classes[number])
	}
	return classes
}

// ClassesInUse are the balancer's numbers of classes that requests may still have which were parsed by former settings.
func (f *Server) ClassesInUse() map[int]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settingsInUse = slices.DeleteFunc(f.settingsInUse, func(s *settingsSnapshot) bool { return s != f.settings && s.readers == 0 })
	numbers := map[int]bool{}
	for _, s := range f.settingsInUse {
		for _, number := range s.classes {
			numbers[number] = true
		}
	}
	return numbers
}

// SetSettings puts settings in force for the requests that come from now on. classNumbers are the balancer's numbers of the
// site's classes.
func (f *Server) SetSettings(site *settings.Site, inForce *balancer.Settings, classNumbers []int) {
	s := newSettingsSnapshot(site, inForce, classNumbers)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = s
	f.settingsInUse = append(f.settingsInUse, s)
}
