// Package byzantine is a member of the proxies' gossip that says what is not so: that nodos and zones are bad which are sound.
// It joins by the program's own link, so that what it says is well formed and only wrong.
package byzantine

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"merlinpick/internal/cluster/state"
	"merlinpick/internal/cluster/transport"
)

const (
	sayEvery = 500 * time.Millisecond // well under the shortest life of what is said
	evidence = 1000                   // calls that it pretends to have made to each
)

// Config is what a liar is told.
type Config struct {
	Name, Zone, Tier string
	Bind, Advertise  string // IP and port
	Label            string
	Seeds            []string
	Log              *slog.Logger
}

// Victim is a nodo that a liar speaks ill of.
type Victim struct {
	Name     string
	Launched int64 // ms; as the list has it, or nobody takes it for that nodo
}

// Liar is a lying member.
type Liar struct {
	link *transport.Node
	stop context.CancelFunc
	done sync.WaitGroup
}

// Join has a liar join, and say of all victims and of all zones but its own that they fail, until Leave.
func Join(cfg Config, victims func() []Victim, zones []string) (*Liar, error) {
	begun := time.Now()
	l, err := transport.Open(transport.Config{Name: cfg.Name, Zone: cfg.Zone, Tier: cfg.Tier, Bind: cfg.Bind, Advertise: cfg.Advertise,
		Label: cfg.Label, Seeds: cfg.Seeds, StartedAtMs: begun.UnixMilli(), Now: func() int64 { return time.Since(begun).Microseconds() },
		Logger: cfg.Log})
	if err != nil {
		return nil, fmt.Errorf("liar %s: %w", cfg.Name, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	out := &Liar{link: l, stop: stop}
	out.done.Go(func() { l.Run(ctx) })
	out.done.Go(func() {
		for again := time.NewTicker(sayEvery); ; {
			l.Publish(Lies(cfg.Zone, victims(), zones))
			select {
			case <-again.C:
			case <-ctx.Done():
				again.Stop()
				return
			}
		}
	})
	return out, nil
}

// Leave has it go. What it said ends as it would have.
func (l *Liar) Leave() {
	l.stop()
	l.done.Wait()
}

// Lies are what a liar in a zone says, with all the evidence that one could have.
func Lies(zone string, victims []Victim, zones []string) (out []state.Observation) {
	body := state.Body{Fault: failing, Calls: evidence, BadFraction: 1}
	for _, v := range victims {
		out = append(out, state.Observation{Kind: state.ServerUnhealthy, Subject: v.Name, SubjectStartMs: v.Launched, Body: body})
	}
	for _, z := range zones {
		if z != zone {
			out = append(out, state.Observation{Kind: state.ZoneUnhealthy, Subject: z, Body: body})
		}
	}
	return out
}

const failing = 1 // as logic counts causes
