package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"merlinpick/internal/faultlab/linear"
	"merlinpick/internal/registry/registrar"
	"merlinpick/internal/registry/state"
)

// killAtRandom kills or suspends a random member, the leader, or all, until so many members were killed.
func (s *cluster) killAtRandom(r *rand.Rand, kills int) {
	for killed := 0; killed < kills; {
		time.Sleep(time.Duration(r.IntN(500)) * time.Millisecond)
		targets := []int{r.IntN(len(s.processes))}
		switch r.IntN(6) {
		case 0, 1:
			if l := s.leader(); l >= 0 {
				targets = []int{l}
			}
		case 2:
			targets = []int{0, 1, 2}
		}
		if r.IntN(4) == 0 { // suspended for longer than an election: it resumes with an outdated term
			for _, i := range targets {
				_ = s.processes[i].Signal(syscall.SIGSTOP)
			}
			time.Sleep(time.Duration(500+r.IntN(2000)) * time.Millisecond)
			for _, i := range targets {
				_ = s.processes[i].Signal(syscall.SIGCONT)
			}
			continue
		}
		for _, i := range targets {
			if err := s.processes[i].Signal(syscall.SIGKILL); err != nil {
				s.t.Error(err)
			}
		}
		for _, i := range targets {
			<-s.processes[i].Ended()
		}
		time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
		for _, i := range targets {
			s.start(i)
		}
		killed += len(targets)
	}
}

// Across kills and suspensions, no acknowledged registration is lost, none takes effect twice, and the history of
// linearizable reads and writes is linearizable. ROSTER_KILLS sets the number of kills.
func TestKillsLoseNoAcknowledgedWrite(t *testing.T) {
	kills := 8
	if v := os.Getenv("ROSTER_KILLS"); v != "" {
		var err error
		if kills, err = strconv.Atoi(v); err != nil {
			t.Fatal(err)
		}
	}
	s := startService(t, 3)
	_, base, _, err := s.list(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	h := linear.New()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var mu sync.Mutex
	wanted, changes := map[string]string{}, int64(0)
	var writers, readers sync.WaitGroup
	for w := range 4 {
		writers.Go(func() {
			c := registrar.New(s.addresses)
			defer c.Close()
			r := rand.New(rand.NewPCG(uint64(w), 1))
			// Each call is repeated until it is decided: one in flight at a kill may have taken effect or not.
			say := func(kind linear.Kind, rec state.Record, value string, call func(context.Context) error) bool {
				end := h.Begin(kind, rec.Name, rec.Instance, w+1)
				bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), patience)
				defer cancel()
				if err := call(bounded); err != nil {
					t.Errorf("%s %s: %v", kind, rec.Name, err)
					return false
				}
				end(true, false)
				mu.Lock()
				defer mu.Unlock()
				wanted[rec.Name] = value
				changes++
				return true
			}
			for since := int64(1); ctx.Err() == nil; since++ {
				rec := record(fmt.Sprintf("w%d-%d", w, r.IntN(3)), since)
				ref := state.InstanceRef{Name: rec.Name, Instance: rec.Instance}
				ok := say(linear.Register, rec, linear.Value(state.StatusServing, rec.Instance), func(ctx context.Context) error {
					_, err := c.Register(ctx, rec)
					return err
				})
				if ok && r.IntN(2) == 0 {
					ok = say(linear.Drain, rec, linear.Value(state.StatusDraining, rec.Instance), func(ctx context.Context) error {
						_, err := c.Drain(ctx, ref)
						return err
					})
				}
				if ok && r.IntN(2) == 0 {
					ok = say(linear.Gone, rec, linear.Absent, func(ctx context.Context) error {
						_, err := c.Deregister(ctx, ref)
						return err
					})
				}
				if !ok {
					return
				}
				time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
			}
		})
	}
	for i := range s.addresses {
		readers.Go(func() {
			for last := int64(0); ctx.Err() == nil; time.Sleep(30 * time.Millisecond) {
				begun := time.Now()
				_, index, values, err := s.list(ctx, i)
				if err != nil {
					continue
				}
				if index < last {
					t.Errorf("r%d: version %d after %d", i+1, index, last)
				}
				last = index
				for w := range 4 {
					for n := range 3 {
						if name := fmt.Sprintf("w%d-%d", w, n); values[name] == "" {
							values[name] = linear.Absent
						}
					}
				}
				h.Seen(100+i, begun, values)
			}
		})
	}
	s.killAtRandom(rand.New(rand.NewPCG(uint64(kills), 2)), kills)
	s.awaitServing()
	stop()
	writers.Wait()
	readers.Wait()
	for i := range s.addresses {
		_, index, values, err := s.list(t.Context(), i)
		if err != nil {
			t.Fatal(err)
		}
		for name, want := range wanted {
			if values[name] != want {
				t.Errorf("r%d: %s is %q, confirmed was %q", i+1, name, values[name], want)
			}
		}
		if index-base != changes {
			t.Errorf("r%d: %d versions for %d changes", i+1, index-base, changes)
		}
	}
	v := h.Check(patience)
	if len(v.Wrong) > 0 || len(v.Open) > 0 {
		t.Errorf("no order explains %v; not decided: %v", v.Wrong, v.Open)
	}
	t.Logf("%d kills, %d changes, %d calls in the history", kills, changes, v.Calls)
}
