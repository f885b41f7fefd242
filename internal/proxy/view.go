package proxy

import (
	"slices"

	"merlinpick/balancer"
	"merlinpick/internal/settings"
)

// view is what the settings in force tell of requests. It does not change: others take its place, and each request
// keeps the one that it was read by.
type view struct {
	rules   *balancer.Settings // with classes by the module's numbers
	classes map[string]int     // those numbers
	tenants map[string]int
	readers int // requests that it is read by; guarded by the frontend's mu
}

func newView(site *settings.Site, rules *balancer.Settings, numbers []int) *view {
	v := &view{rules: rules, classes: map[string]int{}, tenants: map[string]int{}}
	for i, name := range site.Classes {
		v.classes[name] = numbers[i]
	}
	for i, name := range site.Tenants {
		v.tenants[name] = i
	}
	return v
}

// read takes the view in force, for one request; done gives it back.
func (f *frontend) read() *view {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.readers++
	return f.view
}

func (f *frontend) done(v *view) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v.readers--
}

// classes are those in force.
func (f *frontend) classes() []balancer.Class {
	v := f.read()
	defer f.done(v)
	var all []balancer.Class
	for _, n := range v.classes {
		all = append(all, v.rules.Classes[n])
	}
	return all
}

// held tells which of the module's class numbers requests may still have that were read by former views.
func (f *frontend) held() map[int]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.views = slices.DeleteFunc(f.views, func(v *view) bool { return v != f.view && v.readers == 0 })
	held := map[int]bool{}
	for _, v := range f.views {
		for _, n := range v.classes {
			held[n] = true
		}
	}
	return held
}

// turn puts a view in force.
func (f *frontend) turn(v *view) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = v
	f.views = append(f.views, v)
}
