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
func (srv *Server) acquireSettings() *settingsSnapshot {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.settings.readers++
	return srv.settings
}

func (srv *Server) releaseSettings(s *settingsSnapshot) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	s.readers--
}

// CurrentClasses are the classes in force.
func (srv *Server) CurrentClasses() []balancer.Class {
	s := srv.acquireSettings()
	defer srv.releaseSettings(s)
	var classes []balancer.Class
	for _, number := range s.classes {
		classes = append(classes, s.balancer.Classes[number])
	}
	return classes
}

// ClassesInUse are the balancer's numbers of classes that requests may still have which were parsed by former settings.
func (srv *Server) ClassesInUse() map[int]bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.settingsInUse = slices.DeleteFunc(srv.settingsInUse, func(s *settingsSnapshot) bool { return s != srv.settings && s.readers == 0 })
	numbers := map[int]bool{}
	for _, s := range srv.settingsInUse {
		for _, number := range s.classes {
			numbers[number] = true
		}
	}
	return numbers
}

// SetSettings puts settings in force for the requests that come from now on. classNumbers are the balancer's numbers of the
// site's classes.
func (srv *Server) SetSettings(site *settings.Site, inForce *balancer.Settings, classNumbers []int) {
	s := newSettingsSnapshot(site, inForce, classNumbers)
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.settings = s
	srv.settingsInUse = append(srv.settingsInUse, s)
}
