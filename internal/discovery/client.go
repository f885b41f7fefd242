// Package discovery follows the list of backends and tells what is new. There are two ways of it:
//
//   - The platform's list, at one address (Source.Address): one watch after another. See platform.go for how long a change
//     may take whatever fails.
//   - The project's own list service, at several (Source.Members): one watch at one of them, and at another when that
//     fails, for as long as it takes. See members.go for what a failure costs and what is believed of whom.
//
// One goroutine, Run's, owns the calls and ends those that it has others make; a second one, if there is a folder, writes the
// last list down (keep.go). The rest of the program sees News, Move and Figures.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"merlinpick/internal/atomicfile"
	"merlinpick/internal/failover"
)

const maxListBytes = 4 << 20

// Source is where the list comes from: the members if there are any, else the address.
type Source struct {
	Address string
	Members []string
}

func (s Source) String() string {
	if len(s.Members) > 0 {
		return strings.Join(s.Members, ",")
	}
	return s.Address
}

func (s Source) equal(o Source) bool {
	if len(s.Members) > 0 || len(o.Members) > 0 {
		return slices.Equal(s.Members, o.Members)
	}
	return s.Address == o.Address
}

// Config is what a client is told.
type Config struct {
	Source Source
	// Callers is about how many clients the platform's discovery has; 0: not known.
	Callers  int
	Pushed   bool   // the platform's list comes from an agent that has no other callers
	Seed     uint64 // of the order of members, and of pauses
	StateDir string // folder in which the last list is kept, with Members; empty: none
	Logger   *slog.Logger
}

// News is what discovery answered.
type Update struct{ List *List }

// Client follows the list.
type Client struct {
	cfg           Config
	log           *slog.Logger
	http          *http.Client
	connect       func(Source) *http.Client // newHTTP, but for tests
	updates       chan Update
	done          <-chan struct{} // closed when Run is to end
	unreachable   chan struct{}   // closed at the first call that showed that discovery cannot be reached
	sourceChanges chan Source     // the newest only
	source        Source
	rng           *rand.Rand
	cache         *atomicfile.Writer // nil without a folder

	registryState // with Members
	platformState // without

	callCounts                    callCounter // of the platform's list
	startedAt                     time.Time
	lastSuccess                   atomic.Int64 // ns after start; 0: never
	failovers, failures, retained atomic.Int64
	fromRegistry                  atomic.Bool
}

// New is a client; Run has it follow.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg, log: cfg.Logger, source: cfg.Source, updates: make(chan Update), unreachable: make(chan struct{}), sourceChanges: make(chan Source, 1),
		rng: rand.New(rand.NewPCG(cfg.Seed, 23)), startedAt: time.Now(), http: newHTTPClient(cfg.Source), connect: newHTTPClient, platformState: platformState{version: -1}}
	if cfg.StateDir != "" && len(cfg.Source.Members) > 0 {
		c.cache = newCacheWriter(cfg.StateDir, cfg.Logger)
	}
	c.fromRegistry.Store(len(cfg.Source.Members) > 0)
	return c
}

// newHTTP makes calls. Of the platform's discovery its call ends the wait; a dial that nobody waits for must not go on to
// hold one of the two places.
func newHTTPClient(at Source) *http.Client {
	if len(at.Members) > 0 {
		return failover.NewHTTPClient()
	}
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: 2 * hedgeDelayMin}).DialContext}}
}

// News is what is new. Its reader must not wait long: the next watch begins after it has read.
func (c *Client) Updates() <-chan Update { return c.updates }

// Unreachable is closed once a call has shown that the platform's discovery is out of reach: its connection was refused or broke,
// or it was turned away at once.
func (c *Client) Unreachable() <-chan struct{} { return c.unreachable }

// noteLoss closes lost at the first call that failed so.
func (c *Client) noteUnreachable(err error) {
	var garbled *malformedListError
	if errors.As(err, &garbled) || errors.Is(err, context.DeadlineExceeded) || c.rejectedAfter >= shortQueueWait {
		return
	}
	select {
	case <-c.unreachable:
	default:
		close(c.unreachable)
	}
}

// Move has the list come from elsewhere from now on. What is known stands until that has answered.
func (c *Client) SetSource(to Source) {
	for {
		select {
		case c.sourceChanges <- to:
			return
		case <-c.sourceChanges: // an older one that was not taken yet
		}
	}
}

// Figures are the client's counts.
type Metrics struct {
	FromRegistry      bool          // the list is that of members: Moves and Kept are told
	Age               time.Duration // since discovery or a member last answered with a list; negative: none has
	Failovers         int64         // from one member to another
	Failures          int64         // calls that failed
	RetainedEndpoints int64         // entries that a new line of versions lacks, and that stand for a while

	CallResults map[string]int64 // of the platform's list, by how they ended
}

// Figures are the counts so far.
func (c *Client) Metrics() Metrics {
	f := Metrics{FromRegistry: c.fromRegistry.Load(), Age: -1, Failovers: c.failovers.Load(), Failures: c.failures.Load(), RetainedEndpoints: c.retained.Load(),
		CallResults: c.callCounts.snapshot()}
	if at := c.lastSuccess.Load(); at != 0 {
		f.Age = time.Since(c.startedAt) - time.Duration(at)
	}
	return f
}

// Run follows the list until the context ends, at one source after another. A move ends the call that is out at the
// old one, and the new one is asked at once, from the version held: what it has to tell counts as told soon.
func (c *Client) Run(ctx context.Context) {
	defer func() { c.http.CloseIdleConnections() }()
	c.done = ctx.Done()
	if c.cache != nil {
		defer c.cache.Run(ctx)()
	}
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		next := make(chan Source, 1)
		go func() {
			defer close(next)
			for {
				select {
				case to := <-c.sourceChanges:
					if to.equal(c.source) {
						continue // the watch there goes on
					}
					next <- to
					leave()
				case <-here.Done():
				}
				return
			}
		}()
		if len(c.source.Members) > 0 {
			c.followRegistry(here)
		} else {
			c.followPlatform(here)
		}
		leave()
		if to, ok := <-next; ok {
			c.log.Info("discovery moved", "from", c.source, "to", to)
			c.source = to
			c.fromRegistry.Store(len(to.Members) > 0)
			c.sourceChanged = true
			c.watching = false
			c.resetQueueEstimate() // it was another's
			c.scheduleResync()     // another service's versions may say something else
			c.http.CloseIdleConnections()
			c.http = c.connect(to)
		}
	}
}

// tell hands news over. A move waits for it: the version that is held counts it in, and the next call goes on from there.
func (c *Client) publish(n Update) {
	select {
	case c.updates <- n:
	case <-c.done:
	}
}

var errUnavailable = errors.New("discovery is busy or down")

// A garbledError is an answer that is no list, or none that is known here.
type malformedListError struct{ err error }

func (e *malformedListError) Error() string { return "garbled list: " + e.err.Error() }
func (e *malformedListError) Unwrap() error { return e.err }

// get makes one call and reads the list that it is answered with.
func (c *Client) fetch(ctx context.Context, url string, patience time.Duration) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("ask for the list: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask for the list: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		return nil, errUnavailable
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &malformedListError{fmt.Errorf("status %s", resp.Status)}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, fmt.Errorf("read the list: %w", err)
	}
	list, err := Parse(data)
	if err != nil {
		return nil, &malformedListError{err}
	}
	return list, nil
}
