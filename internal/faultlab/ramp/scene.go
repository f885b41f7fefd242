package ramp

import "merlinpick/balancer"

// play begins the scene's event.
func (w *world) play() {
	n := len(w.servers)
	some := func(part float64) []*server { // at random
		var of []*server
		for _, i := range w.rnd.Perm(n)[:max(1, int(part*float64(n)))] {
			of = append(of, w.servers[i])
		}
		return of
	}
	switch w.Scene {
	case "calm": // one restarts
		some(0)[0].restart()
	case "replaced": // half drain, and as many new ones come, in two steps
		for i, s := range some(0.5) {
			w.after(int64(i%2)*sec, func() {
				s.state = balancer.ServerDraining
				s.list()
				w.add(s.zone, w.now).list()
			})
		}
	case "zone": // a zone is lost and returns cold; nobody was told that it had gone
		w.zoneLost(5 * sec)
	case "few": // all but two leave and come back cold at once
		for _, s := range w.servers[2:] {
			s.restart()
		}
	case "none": // all start cold at once
		for _, s := range w.servers {
			s.restart()
		}
	case "ban": // one is left out by hand by all, restarted and called back
		w.suspend(some(0)[0])
	case "restart": // a third starts cold, and seven in ten processes start anew meanwhile
		for _, s := range some(0.34) {
			s.restart()
		}
		for _, p := range w.copies {
			if w.rnd.Float64() < 0.7 {
				w.after(w.rnd.Int64N(2*sec), p.boot)
			}
		}
	case "hang", "slow", "fail": // three in four hang, are five times as slow, or fail, as one starts cold
		of := some(0.75)
		for _, s := range of[1:] {
			if s.hangs, s.fails = w.Scene == "hang", w.Scene == "fail"; w.Scene == "slow" {
				s.slow = 5
			}
		}
		of[0].restart()
	case "home": // a zone has only one server, and that restarts
		for _, s := range w.servers {
			if s.zone == 0 && s != w.servers[0] {
				s.state = balancer.ServerDraining
				s.list()
			}
		}
		w.after(sec, w.servers[0].restart)
	case "overload": // a third starts cold while more comes than all can take
		for _, s := range some(0.34) {
			s.restart()
		}
	case "surge": // a quarter starts cold, and three times as much comes from then on
		w.surge = 3
		for _, s := range some(0.25) {
			s.restart()
		}
	}
}

func (w *world) zoneLost(span int64) {
	for _, s := range w.servers {
		if s.zone == 0 {
			s.stop()
			s.dark = true
			w.after(span, s.restart)
		}
	}
}

func (w *world) suspend(s *server) {
	for _, p := range w.copies {
		w.after(w.rnd.Int64N(sec/10), func() { p.b.SetSuspendedServers(map[string]bool{s.id: true}) })
		w.after(3*sec+w.rnd.Int64N(sec/10), func() { p.b.SetSuspendedServers(nil) })
	}
	w.after(sec, s.restart)
}
