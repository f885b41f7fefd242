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

// killAtRandom kills or suspends a random member, the leader, or all, until the given number of members was
// killed.
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

const (
	writerCount        = 4
	endpointsPerWriter = 3
)

func endpointName(writer, n int) string { return fmt.Sprintf("w%d-%d", writer, n) }

// workload writes endpoints and reads the list while members are killed, and records the history of all
// calls.
type workload struct {
	t       *testing.T
	cluster *cluster
	history *linear.History

	mu           sync.Mutex
	acknowledged map[string]string // last value by endpoint, as defined by package linear
	changes      int64
}

// write registers, drains and deregisters a writer's endpoints until ctx ends or a call fails.
func (l *workload) write(ctx context.Context, writer int) {
	client := registrar.New(l.cluster.addresses)
	defer client.Close()
	random := rand.New(rand.NewPCG(uint64(writer), 1))
	for since := int64(1); ctx.Err() == nil; since++ {
		rec := record(endpointName(writer, random.IntN(endpointsPerWriter)), since)
		ref := state.InstanceRef{Name: rec.Name, Instance: rec.Instance}
		ok := l.call(ctx, writer, linear.Register, rec, func(ctx context.Context) error {
			_, err := client.Register(ctx, rec)
			return err
		})
		if ok && random.IntN(2) == 0 {
			ok = l.call(ctx, writer, linear.Drain, rec, func(ctx context.Context) error {
				_, err := client.Drain(ctx, ref)
				return err
			})
		}
		if ok && random.IntN(2) == 0 {
			ok = l.call(ctx, writer, linear.Remove, rec, func(ctx context.Context) error {
				_, err := client.Deregister(ctx, ref)
				return err
			})
		}
		if !ok {
			return
		}
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// call makes one call and records it. The client repeats the call until the outcome is known: a call in
// flight at a kill may or may not have taken effect.
func (l *workload) call(ctx context.Context, writer int, kind linear.Operation, rec state.Record, call func(context.Context) error) bool {
	end := l.history.Begin(kind, rec.Name, rec.Instance, writer+1)
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), waitTimeout)
	defer cancel()
	if err := call(bounded); err != nil {
		l.t.Errorf("%s %s: %v", kind, rec.Name, err)
		return false
	}
	end(true, false)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acknowledged[rec.Name] = map[linear.Operation]string{linear.Register: linear.Value(state.StatusServing, rec.Instance),
		linear.Drain: linear.Value(state.StatusDraining, rec.Instance), linear.Remove: linear.Absent}[kind]
	l.changes++
	return true
}

// read reads the list from one member until ctx ends. Its versions must not decrease.
func (l *workload) read(ctx context.Context, member int) {
	for last := int64(0); ctx.Err() == nil; time.Sleep(30 * time.Millisecond) {
		begun := time.Now()
		_, version, values, err := l.cluster.list(ctx, member)
		if err != nil {
			continue
		}
		if version < last {
			l.t.Errorf("r%d: version %d after %d", member+1, version, last)
		}
		last = version
		for writer := range writerCount {
			for n := range endpointsPerWriter {
				if name := endpointName(writer, n); values[name] == "" {
					values[name] = linear.Absent
				}
			}
		}
		l.history.RecordRead(100+member, begun, values)
	}
}

// check compares a member's list with the acknowledged values, and the number of its versions since
// firstVersion with the number of changes.
func (l *workload) check(member int, firstVersion int64) {
	l.t.Helper()
	_, version, values, err := l.cluster.list(l.t.Context(), member)
	if err != nil {
		l.t.Fatal(err)
	}
	for name, want := range l.acknowledged {
		if values[name] != want {
			l.t.Errorf("r%d: %s is %q, acknowledged was %q", member+1, name, values[name], want)
		}
	}
	if version-firstVersion != l.changes {
		l.t.Errorf("r%d: %d versions for %d changes", member+1, version-firstVersion, l.changes)
	}
}

// killCount returns the environment's ROSTER_KILLS, or a number that CI has time for.
func killCount(t *testing.T) int {
	t.Helper()
	text := os.Getenv("ROSTER_KILLS")
	if text == "" {
		return 8
	}
	kills, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return kills
}

// Across kills and suspensions, no acknowledged registration is lost, none takes effect twice, and the
// history of linearizable reads and writes is linearizable.
func TestKillsLoseNoAcknowledgedWrite(t *testing.T) {
	kills := killCount(t)
	s := startCluster(t, 3)
	_, firstVersion, _, err := s.list(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	load := &workload{t: t, cluster: s, history: linear.New(), acknowledged: map[string]string{}}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var clients sync.WaitGroup
	for writer := range writerCount {
		clients.Go(func() { load.write(ctx, writer) })
	}
	for member := range s.addresses {
		clients.Go(func() { load.read(ctx, member) })
	}
	s.killAtRandom(rand.New(rand.NewPCG(uint64(kills), 2)), kills)
	s.awaitServing()
	stop()
	clients.Wait()
	for member := range s.addresses {
		load.check(member, firstVersion)
	}
	verdict := load.history.Check(waitTimeout)
	if len(verdict.Violations) > 0 || len(verdict.Undecided) > 0 {
		t.Errorf("the history is not linearizable: violations %v; undecided: %v", verdict.Violations,
			verdict.Undecided)
	}
	t.Logf("%d kills, %d changes, %d calls in the history", kills, load.changes, verdict.Calls)
}
