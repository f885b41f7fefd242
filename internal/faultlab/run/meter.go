package run

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/hollow"
	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/process"
	"merlinpick/internal/faultlab/result"
	"merlinpick/internal/faultlab/service"
	"merlinpick/internal/faultlab/sleep"
)

const meterEvery = 500 * time.Millisecond

// meter reads what control costs: bytes at the links, CPU and memory at the kernel, and the members' own metrics. One
// goroutine looks at it all the time, since what members use ends with them and who leads changes.
type meter struct {
	*fleet
	members []*service.Member

	looks sync.Mutex // one at a time

	mu   sync.Mutex
	sum  result.Reading
	seen map[string]looked // of each member, at the last look
}

type looked struct {
	service.Standing
	traffic link.Traffic // in and out of it, as Sent and Answered
}

func (f *fleet) newMeter() *meter {
	m := &meter{fleet: f, seen: map[string]looked{}}
	if f.service != nil {
		m.members = f.service.Targets(nil)
	}
	m.sum.Roles = map[string]result.Spent{}
	m.look()
	return m
}

// run looks until the context ends.
func (m *meter) run(ctx context.Context) {
	for sleep.For(ctx, meterEvery) {
		m.look()
	}
}

// traffic is what the links have passed, by role, and of each member: Sent is what came to it.
func (m *meter) traffic() (roles, members map[string]link.Traffic) {
	roles, members = map[string]link.Traffic{}, map[string]link.Traffic{}
	add := func(to map[string]link.Traffic, key string, t link.Traffic) { to[key] = to[key].Plus(t) }
	m.net.Traffic(func(e link.Ends, t link.Traffic) {
		turned := link.Traffic{Sent: t.Answered, Answered: t.Sent, Pieces: t.Pieces}
		switch {
		case e.Kind == "list" && e.From == hollowFrom:
			add(roles, "proxy", turned)
		case e.Kind == "list":
			add(roles, "real", turned)
		case e.Kind == "lease" && e.From == hollowFrom:
			add(roles, "nodo", turned)
		}
		switch e.Kind {
		case "list", "lease", "member":
			add(members, e.To, t)
			if e.FromZone != e.ToZone {
				add(roles, "regions", t)
			}
		}
		if e.Kind == "member" {
			back := turned
			back.Pieces = 0
			add(members, e.From, back)
		}
	})
	return roles, members
}

// look adds what was spent since the last look to the sum.
func (m *meter) look() {
	m.looks.Lock()
	defer m.looks.Unlock()
	standing := make([]service.Standing, len(m.members))
	var all sync.WaitGroup
	for i, x := range m.members {
		all.Go(func() { standing[i] = m.service.Standing(x) })
	}
	all.Wait()
	roles, members := m.traffic()
	m.mu.Lock()
	defer m.mu.Unlock()
	at := time.Now()
	past := at.Sub(m.sum.At)
	first := m.sum.At.IsZero()
	m.sum.At = at
	watches := 0.0
	for i, x := range m.members {
		now := looked{standing[i], members[x.Name]}
		was := m.seen[x.Name]
		m.seen[x.Name] = now
		watches += now.Watches
		if was.PID != now.PID { // another process: all that it has is new
			was.CPU, was.Rejected = 0, 0
		}
		if first {
			continue
		}
		role := "follower"
		if now.Leads {
			role = "leader"
		}
		t := now.traffic.Minus(was.traffic)
		spent := result.Spent{In: t.Sent, Out: t.Answered, Calls: t.Pieces, CPU: max(0, now.CPU-was.CPU), Each: past,
			Memory: now.Memory}
		m.sum.Roles[role] = m.sum.Roles[role].Plus(spent)
		spent.Each = 0
		m.sum.Roles["five"] = m.sum.Roles["five"].Plus(spent)
		if now.Up {
			m.sum.Turned += max(0, now.Rejected-was.Rejected)
		}
	}
	if !first {
		five := m.sum.Roles["five"]
		five.Each += past
		m.sum.Roles["five"] = five
	}
	m.sum.Watches = max(m.sum.Watches, watches)
	for role, n := range map[string]int{"proxy": m.exp.Hollow.Proxies, "real": len(m.order), "nodo": m.exp.Hollow.Servers, "regions": 1} {
		s := m.sum.Roles[role]
		t := roles[role]
		s.In, s.Out, s.Calls = t.Sent, t.Answered, t.Pieces
		if !first {
			s.Each += past * time.Duration(n)
		}
		m.sum.Roles[role] = s
	}
}

// read is all so far, with what processes use now. Memory is as of now, of members the most
// so far, as are watches: two phases that meet read at one moment.
func (m *meter) read(ctx context.Context) result.Reading {
	m.look()
	var fleet []hollow.ProxyMetrics
	var real []*hollow.ClusterMetrics
	if m.exp.Cluster.On {
		for _, x := range m.order {
			real = append(real, realProcesses(ctx, x.mgmt))
		}
		for _, p := range m.hollow {
			f, err := p.figures(ctx, false)
			if err != nil {
				if ctx.Err() == nil {
					m.note(err)
				}
				continue
			}
			fleet = append(fleet, f.Proxies...)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.sum.Clone()
	use := func(role string, cpu time.Duration, memory int64) {
		s := out.Roles[role]
		s.CPU, s.Memory = s.CPU+cpu, s.Memory+memory
		out.Roles[role] = s
	}
	for _, p := range m.hollow {
		role := "proxy"
		if len(p.cfg.Servers) > 0 {
			role = "nodo"
		}
		use(role, p.proc.Usage().CPU, process.Memory(p.proc.PID()))
	}
	for _, x := range m.order {
		for _, proc := range x.processes() {
			memory := int64(0)
			if !over(proc) {
				memory = process.Memory(proc.PID())
			}
			use("real", proc.Usage().CPU, memory)
		}
	}
	out.RealGossip = real
	for i := range fleet {
		out.Gossip = append(out.Gossip, fleet[i].Cluster)
	}
	return out
}

// phases reads at each phase's beginning and end.
func (m *meter) phases(ctx context.Context, start time.Time) []result.PhaseReading {
	out := make([]result.PhaseReading, len(m.exp.Phases))
	var all sync.WaitGroup
	for i, p := range m.exp.Phases {
		all.Go(func() {
			for j, at := range []float64{p.From, p.To} {
				if !sleep.For(ctx, time.Until(start.Add(experiment.Seconds(at)))) {
					return
				}
				r := m.read(ctx)
				if j == 0 {
					out[i].Before = &r
				} else {
					out[i].After = &r
				}
			}
		})
	}
	all.Wait()
	return out
}

// hollowReport is what the hollow processes leave at the end.
func (f *fleet) hollowReport() (out []hollow.Metrics, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), hollowCall)
	defer cancel()
	for _, p := range f.hollow {
		x, err := p.figures(ctx, true)
		if err != nil {
			return out, err
		}
		if x.RelayDrops > 0 {
			return out, fmt.Errorf("%d datagrams of the gossip found no room in %s", x.RelayDrops, p.cfg.Name)
		}
		out = append(out, x)
	}
	return out, nil
}

// measure reads the phases while the play lasts; what it gives waits for its end. Nil without hollow ones.
func (f *fleet) measure(ctx context.Context, start time.Time) (phases func() []result.PhaseReading) {
	if len(f.hollow) == 0 {
		return func() []result.PhaseReading { return nil }
	}
	for _, p := range f.hollow {
		_, err := p.call(ctx, http.MethodPost, "/begin", nil)
		f.note(err)
	}
	m := f.newMeter()
	go m.run(ctx)
	read := make(chan []result.PhaseReading, 1)
	go func() { read <- m.phases(ctx, start) }()
	return func() []result.PhaseReading { return <-read }
}

// controlReport is what control cost in a play; nil without hollow ones.
func (f *fleet) controlReport(phases []result.PhaseReading) *result.Control {
	if len(f.hollow) == 0 {
		return nil
	}
	out := &result.Control{Phases: phases, Puts: f.configs.done()}
	var err error
	if out.Hollow, err = f.hollowReport(); err != nil {
		f.note(err)
	}
	for _, steps := range f.service.Steps() {
		var told []result.Told
		for _, s := range steps {
			told = append(told, result.Told{Version: s.Index, ReceivedAt: s.At.UnixNano()})
		}
		out.Real = append(out.Real, told)
	}
	return out
}

// realFleet is how a real proxy stands with its fleet, by its management address; nil if it does not answer.
func realProcesses(ctx context.Context, mgmt string) *hollow.ClusterMetrics {
	ctx, cancel := context.WithTimeout(ctx, callPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+mgmt+"/v1/metrics", nil)
	if err != nil {
		return nil
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	f := map[string]float64{}
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			f[strings.TrimPrefix(name, "app.fleet_")] = v
		}
	}
	return &hollow.ClusterMetrics{LiveMembers: int(f["living"]), Entries: int(f["entries"]), OldestEntryMs: f["oldest_ms"], Sent: int64(f["sent"]),
		BytesIn: int64(f["in_bytes"]), BytesOut: int64(f["out_bytes"]), Dropped: int64(f["dropped"])}
}
