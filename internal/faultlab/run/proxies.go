package run

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/faultdisk"
	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/process"
	"merlinpick/internal/faultlab/referee"
	"merlinpick/internal/faultlab/sleep"
)

// member is a proxy of the fleet, over all its processes.
type member struct {
	node    experiment.Node
	ordinal int
	zone    int
	listen  string
	list    string
	dir     string
	relay   *link.Relay // of the fleet's gossip; nil if it is off

	mu     sync.Mutex // of one fault at a time, and of what follows
	proc   *process.Process
	mgmt   string
	began  time.Time         // of the latest process
	config string            // its file
	count  int               // processes so far
	owed   []func(time.Time) // excuses that end when it serves again
	dead   int               // faults that keep it down

	all   sync.Mutex // of what follows
	run   []*process.Process
	stops int // faults that hold: stopped, disk full
	fulls int
}

func (m *member) processes() []*process.Process {
	m.all.Lock()
	defer m.all.Unlock()
	return slices.Clone(m.run)
}

// start starts a process of a proxy. From nothing, it knows the list as its configuration has it; as a successor it
// shares the predecessor's directory.
func (f *fleet) start(m *member, keep bool) error {
	tmp := filepath.Join(m.dir, "tmp")
	if !keep {
		if err := os.RemoveAll(m.dir); err != nil {
			return fmt.Errorf("directory of %s: %w", m.node.Name, err)
		}
	}
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return fmt.Errorf("directory of %s: %w", m.node.Name, err)
	}
	part := 1.0
	if f.exp.Proxy.KnownPart != nil {
		part = *f.exp.Proxy.KnownPart
	}
	f.mu.Lock()
	seed := f.rng.Uint64()
	knows := rand.New(rand.NewPCG(seed, 5))
	f.mu.Unlock()
	var known json.RawMessage
	var told []referee.Entry
	if part > 0 {
		known, told = f.known(m.node.Name, part, knows)
	}
	m.mgmt = f.block.mgmt(m.ordinal, m.count)
	speaks, err := f.speaks(m)
	if err != nil {
		return err
	}
	m.count++
	text, err := configuration(f.exp, m, seed, m.mgmt, f.listMembers(m), known, speaks)
	if err != nil {
		return err
	}
	path := filepath.Join(m.dir, fmt.Sprintf("config-%d.json", m.count)) // its own: another may start before it has read it
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fmt.Errorf("configuration of %s: %w", m.node.Name, err)
	}
	successor := m.proc != nil && !over(m.proc)
	if successor {
		f.ref.RecordInheritedList(m.node.Name, told, time.Now())
	} else {
		f.ref.RecordProxyStart(m.node.Name, told, time.Now())
	}
	p, err := f.starter.Start(process.Spec{Name: m.node.Name, Command: f.command, Env: append(os.Environ(), "LB_CONFIG="+path,
		"LB_NAME="+m.node.Name, "LB_LISTEN="+m.listen, "LB_DISCOVERY="+m.list, "LB_MGMT="+m.mgmt, "TMPDIR="+tmp),
		Log: filepath.Join(f.logs, m.node.Name+".log")}, f.log)
	if err != nil {
		return err
	}
	m.proc, m.began, m.config = p, time.Now(), path
	go f.mourn(p)
	m.all.Lock()
	defer m.all.Unlock()
	m.run = append(m.run, p)
	if m.fulls > 0 {
		return p.DiskFull(true)
	}
	return nil
}

func over(p *process.Process) bool {
	select {
	case <-p.Ended():
		return true
	default:
		return false
	}
}

// mourn counts a process that ends without having been told to.
func (f *fleet) mourn(p *process.Process) {
	<-p.Ended()
	if p.Crashed() {
		f.log.Error("a proxy crashed", "proxy", p.Name, "error", p.Err())
		f.ref.UpdateTally(func(t *referee.Tally) { t.Crashed++ })
	}
}

// kill kills proxies in one instant, and excuses them until each serves again.
func (f *fleet) kill(ms []*member) error {
	ms = slices.Clone(ms)
	slices.SortFunc(ms, func(a, b *member) int { return cmp.Compare(a.ordinal, b.ordinal) }) // one order of locks
	var ps []*process.Process
	for _, m := range ms {
		m.mu.Lock()
		defer m.mu.Unlock()
		ps = append(ps, m.processes()...)
	}
	at := time.Now()
	for _, m := range ms {
		m.owed = append(m.owed, f.ref.BeginExcusedSpan(m.node.Name, at))
		m.dead++
	}
	return process.KillAll(slices.DeleteFunc(ps, over))
}

// longest is how long a planned restart waits for SIGKILL.
func (f *fleet) longest() time.Duration {
	most := time.Duration(0)
	for _, k := range f.exp.Classes {
		most = max(most, experiment.Millis(k.GiveUpMs))
	}
	return min(most, killAfter) + killLeeway
}

// restart is a planned restart, with a time in between in which there is no process.
func (f *fleet) restart(ctx context.Context, m *member, signals []signalAt, away time.Duration, keep bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.proc == nil || over(m.proc) {
		return nil
	}
	old := m.proc
	bar := time.AfterFunc(stayAfterTerm, func() { f.front.Bar(m.node.Name) })
	go sendSignals(old, signals)
	clean, err := old.End(f.longest())
	bar.Stop()
	f.front.Bar(m.node.Name)
	if err != nil {
		return err
	}
	if !clean {
		f.log.Warn("a proxy did not end by itself after SIGTERM", "proxy", m.node.Name, "error", old.Err())
	}
	defer f.front.Expect(m.node.Name)
	if !sleep.For(ctx, away) {
		return nil
	}
	return f.start(m, keep)
}

// upgrade replaces the process by the on-call page.
func (f *fleet) upgrade(ctx context.Context, m *member) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.proc
	if old == nil || over(old) {
		return nil
	}
	if err := f.start(m, true); err != nil {
		return err
	}
	if !f.awaitYes(ctx, m, successorWait) {
		f.log.Error("a successor did not say yes", "proxy", m.node.Name)
		f.ref.UpdateTally(func(t *referee.Tally) { t.Crashed++ })
	}
	_, err := old.End(f.longest())
	return err
}

func (f *fleet) awaitYes(ctx context.Context, m *member, patience time.Duration) bool {
	client := http.Client{Timeout: callPatience, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(patience); time.Now().Before(end) && sleep.For(ctx, readyzPoll); {
		resp, err := client.Get("http://" + m.mgmt + "/v1/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

// powerLoss kills a proxy and loses what its files got last.
func (f *fleet) powerLoss(m *member) error {
	if err := f.kill([]*member{m}); err != nil {
		return err
	}
	f.mu.Lock()
	r := rand.New(rand.NewPCG(f.plan.Seed, f.rng.Uint64()))
	f.mu.Unlock()
	torn, err := faultdisk.Tear(filepath.Join(m.dir, "tmp"), time.Now().Add(-tornBefore), r)
	f.log.Info("power lost", "proxy", m.node.Name, "files", len(torn))
	return err
}

// again starts a killed proxy again, unless another fault keeps it down. It is excused until it says that it serves.
func (f *fleet) again(ctx context.Context, m *member, keep bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead--; m.dead > 0 {
		return nil
	}
	if err := f.start(m, keep); err != nil {
		return err
	}
	if !f.awaitYes(ctx, m, reopenPatience) && ctx.Err() == nil {
		f.log.Error("a proxy did not serve again after its start", "proxy", m.node.Name, "waited", reopenPatience)
		f.ref.UpdateTally(func(t *referee.Tally) { t.Crashed++ })
	}
	for _, end := range m.owed {
		end(time.Now())
	}
	m.owed = nil
	return nil
}
