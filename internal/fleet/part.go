// Package fleet makes a proxy a member of a fleet: it reads the configuration's section, and joins package link with the
// proxy's module and bans. Only a program that is to have it imports it.
package fleet

import (
	"context"
	"errors"
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fernlanding/internal/bans"
	"fernlanding/internal/fleet/link"
	"fernlanding/internal/fleet/words"
	"fernlanding/internal/mgmt"
	"fernlanding/internal/proxy"
	"fernlanding/logic"
)

const (
	deafAfter = time.Second            // without word from the link the module is told that it is alone
	bindEvery = 200 * time.Millisecond // the address is tried while another process has it: a predecessor, mostly
	bindSay   = time.Minute            // and it is said again
)

// part is a proxy's part in its fleet.
type part struct {
	cfg  link.Config
	bans *bans.Bans // nil unless watched
	link atomic.Pointer[link.Link]
	last atomic.Pointer[word]
	lost atomic.Int64 // notices of zones that this proxy does not know

	mu    sync.Mutex
	hands map[string]bool // as the link last told, or a call here changed it
}

// word is what the link told, and when.
type word struct {
	link.Snapshot
	at int64
}

// open binds the fleet's address. One that another process has is tried again in Run: a start waits neither for the
// fleet nor for a predecessor.
func open(c link.Config, self proxy.FleetSelf) (*part, error) {
	c.Zone, c.Tier, c.Start, c.State = self.Zone, strconv.Itoa(self.Tier), self.Start, self.State
	c.Now, c.Log = self.Now, self.Log
	f := &part{cfg: c, bans: self.Bans}
	if err := f.open(); err != nil && !errors.Is(err, syscall.EADDRINUSE) {
		return nil, err
	}
	return f, nil
}

func (f *part) open() error {
	k, err := link.Open(f.cfg)
	if err == nil {
		f.link.Store(k)
	}
	return err
}

// Run takes part until the context ends.
func (f *part) Run(ctx context.Context) {
	if !f.bind(ctx) {
		return
	}
	k := f.link.Load()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		k.Run(ctx)
	}()
	for {
		select {
		case s := <-k.Peers():
			f.last.Store(&word{s, f.cfg.Now()})
			f.suspended(s.Hands)
		case <-ended:
			return
		}
	}
}

// bind waits until the address is this process's.
func (f *part) bind(ctx context.Context) bool {
	tick := time.NewTicker(bindEvery)
	defer tick.Stop()
	for said := (time.Time{}); f.link.Load() == nil; {
		err := f.open()
		if err == nil {
			break
		}
		if time.Since(said) >= bindSay {
			said = time.Now()
			f.cfg.Log.Warn("this proxy decides alone, and tries again", "error", err)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// suspended has the servers out that the fleet has suspended. What is kept here of one that was resumed goes.
func (f *part) suspended(hands map[string]bool) {
	if f.bans == nil {
		return
	}
	f.mu.Lock()
	before := f.hands
	if maps.Equal(before, hands) {
		f.mu.Unlock()
		return
	}
	f.hands = hands
	f.bans.Outside(hands)
	f.mu.Unlock()
	for nodo, is := range hands {
		if !is && before[nodo] {
			if err := f.bans.Lift(nodo); err != nil {
				f.cfg.Log.Error("a server that the fleet resumed is still out here; resume it here", "nodo", nodo, "error", err)
			}
		}
	}
}

// Told passes a call by hand on to the whole fleet.
func (f *part) Told(nodo string, suspended bool) error {
	k := f.link.Load()
	if k == nil {
		return link.ErrEnded
	}
	do := k.Resume
	if suspended {
		do = k.Suspend
	}
	if err := do(nodo); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	hands := maps.Clone(f.hands)
	if hands == nil {
		hands = map[string]bool{}
	}
	hands[nodo] = suspended
	f.hands = hands
	f.bans.Outside(hands)
	return nil
}

// Figures are nothing but that it is not open until the address is bound.
func (f *part) Figures() *mgmt.Fleet {
	k := f.link.Load()
	if k == nil {
		return &mgmt.Fleet{Living: 1, Near: 1, Alone: true}
	}
	x := k.Figures()
	x.Refused["zone"] = f.lost.Load()
	return &mgmt.Fleet{Open: true, Living: x.Living, Near: x.Near, Alone: x.Alone, TimesAlone: x.TimesAlone, Entries: x.Entries,
		Oldest: x.Oldest, Suspended: x.Suspended, In: x.In, Out: x.Out, Sent: x.Sent, Dropped: x.Dropped, Joined: x.Joined,
		Gone: x.Gone, Tried: x.Tried, Failed: x.Failed, Refused: x.Refused}
}

// Meet leaves the module alone until the address is bound: so long it decides as if there were no fleet.
func (f *part) Meet(now int64, seen func(int64) []logic.Notice, zones map[string]int) (logic.Peers, bool) {
	k := f.link.Load()
	if k == nil {
		return logic.Peers{}, false
	}
	k.Say(words.Items(seen(now), zones))
	w := f.last.Load()
	if w == nil || now-w.at > deafAfter.Microseconds() {
		return logic.Peers{Living: 1, Near: 1, Alone: true}, true
	}
	notices, lost := words.Notices(now, w.Others, zones)
	f.lost.Add(lost)
	return logic.Peers{Living: w.Living, Near: w.Near, Alone: w.Alone, Notices: notices}, true
}
