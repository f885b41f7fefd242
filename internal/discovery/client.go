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

const maxList = 4 << 20

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
	cfg     Config
	log     *slog.Logger
	http    *http.Client
	connect func(Source) *http.Client // newHTTP, but for tests
	news    chan Update
	ended   <-chan struct{} // closed when Run is to end
	lost    chan struct{}   // closed at the first call that showed that discovery cannot be reached
	moved   chan Source     // the newest only
	at      Source
	rng     *rand.Rand
	keep    *atomicfile.Writer // nil without a folder

	followed // with Members
	watched  // without

	calls                 callCounts // of the platform's list
	start                 time.Time
	answered              atomic.Int64 // ns after start; 0: never
	moves, failures, kept atomic.Int64
	fromMembers           atomic.Bool
}

// New is a client; Run has it follow.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg, log: cfg.Logger, at: cfg.Source, news: make(chan Update), lost: make(chan struct{}), moved: make(chan Source, 1),
		rng: rand.New(rand.NewPCG(cfg.Seed, 23)), start: time.Now(), http: newHTTP(cfg.Source), connect: newHTTP, watched: watched{version: -1}}
	if cfg.StateDir != "" && len(cfg.Source.Members) > 0 {
		c.keep = newKeeper(cfg.StateDir, cfg.Logger)
	}
	c.fromMembers.Store(len(cfg.Source.Members) > 0)
	return c
}

// newHTTP makes calls. Of the platform's discovery its call ends the wait; a dial that nobody waits for must not go on to
// hold one of the two places.
func newHTTP(at Source) *http.Client {
	if len(at.Members) > 0 {
		return failover.NewHTTPClient()
	}
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: 2 * firstBeat}).DialContext}}
}

// News is what is new. Its reader must not wait long: the next watch begins after it has read.
func (c *Client) Updates() <-chan Update { return c.news }

// Unreachable is closed once a call has shown that the platform's discovery is out of reach: its connection was refused or broke,
// or it was turned away at once.
func (c *Client) Unreachable() <-chan struct{} { return c.lost }

// noteLoss closes lost at the first call that failed so.
func (c *Client) noteLoss(err error) {
	var garbled *garbledError
	if errors.As(err, &garbled) || errors.Is(err, context.DeadlineExceeded) || c.turnedAway >= someWait {
		return
	}
	select {
	case <-c.lost:
	default:
		close(c.lost)
	}
}

// Move has the list come from elsewhere from now on. What is known stands until that has answered.
func (c *Client) SetSource(to Source) {
	for {
		select {
		case c.moved <- to:
			return
		case <-c.moved: // an older one that was not taken yet
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
	f := Metrics{FromRegistry: c.fromMembers.Load(), Age: -1, Failovers: c.moves.Load(), Failures: c.failures.Load(), RetainedEndpoints: c.kept.Load(),
		CallResults: c.calls.all()}
	if at := c.answered.Load(); at != 0 {
		f.Age = time.Since(c.start) - time.Duration(at)
	}
	return f
}

// Run follows the list until the context ends, at one source after another. A move ends the call that is out at the
// old one, and the new one is asked at once, from the version held: what it has to tell counts as told soon.
func (c *Client) Run(ctx context.Context) {
	defer func() { c.http.CloseIdleConnections() }()
	c.ended = ctx.Done()
	if c.keep != nil {
		defer c.keep.Run(ctx)()
	}
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		next := make(chan Source, 1)
		go func() {
			defer close(next)
			for {
				select {
				case to := <-c.moved:
					if to.equal(c.at) {
						continue // the watch there goes on
					}
					next <- to
					leave()
				case <-here.Done():
				}
				return
			}
		}()
		if len(c.at.Members) > 0 {
			c.follow(here)
		} else {
			c.watch(here)
		}
		leave()
		if to, ok := <-next; ok {
			c.log.Info("discovery moved", "from", c.at, "to", to)
			c.at = to
			c.fromMembers.Store(len(to.Members) > 0)
			c.elsewhere = true
			c.going = false
			c.forgetQueue() // it was another's
			c.checkLater()  // another service's versions may say something else
			c.http.CloseIdleConnections()
			c.http = c.connect(to)
		}
	}
}

// tell hands news over. A move waits for it: the version that is held counts it in, and the next call goes on from there.
func (c *Client) tell(n Update) {
	select {
	case c.news <- n:
	case <-c.ended:
	}
}

var errBusy = errors.New("discovery is busy or down")

// A garbledError is an answer that is no list, or none that is known here.
type garbledError struct{ err error }

func (e *garbledError) Error() string { return "garbled list: " + e.err.Error() }
func (e *garbledError) Unwrap() error { return e.err }

// get makes one call and reads the list that it is answered with.
func (c *Client) get(ctx context.Context, url string, patience time.Duration) (*List, error) {
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
		return nil, errBusy
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &garbledError{fmt.Errorf("status %s", resp.Status)}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return nil, fmt.Errorf("read the list: %w", err)
	}
	list, err := Parse(data)
	if err != nil {
		return nil, &garbledError{err}
	}
	return list, nil
}
