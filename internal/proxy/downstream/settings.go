package downstream

import (
	"slices"

	"merlinpick/balancer"
	"merlinpick/internal/settings"
)

// settingsSnapshot holds the settings that requests are parsed with. Apart from readers it does not change:
// new settings are a new snapshot, and each request keeps the one that it was parsed with.
type settingsSnapshot struct {
	balancer *balancer.Settings // its Classes are indexed by the balancer's class numbers
	classes  map[string]int     // the balancer's class numbers, by name
	tenants  map[string]int     // the balancer's tenant numbers, by name
	readers  int                // requests that use the snapshot; guarded by the Server's mu
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

// acquireSettings returns the settings in force for a request, which must call releaseSettings when it has
// ended.
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

// CurrentClasses returns the classes in force.
func (srv *Server) CurrentClasses() []balancer.Class {
	s := srv.acquireSettings()
	defer srv.releaseSettings(s)
	var classes []balancer.Class
	for _, number := range s.classes {
		classes = append(classes, s.balancer.Classes[number])
	}
	return classes
}

// ClassesInUse returns the balancer's numbers of the classes in force and of those that requests parsed with
// earlier settings may still have.
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

// SetSettings puts settings in force for the requests that arrive from now on. classNumbers holds the
// balancer's number of each of the site's classes.
func (srv *Server) SetSettings(site *settings.Site, inForce *balancer.Settings, classNumbers []int) {
	s := newSettingsSnapshot(site, inForce, classNumbers)
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.settings = s
	srv.settingsInUse = append(srv.settingsInUse, s)
}
