// Package discovery follows the list of endpoints and publishes each change of it. There are two kinds of source:
//
//   - the platform list, at one address (Source.Address): one watch after another, see platform.go;
//   - the registry, with several members (Source.Members): a watch at one member, and at another one when that fails, see
//     registry.go.
//
// How old a list may be, for each fault, and what follows from that stands in freshness.go.
//
// Run's goroutine makes or waits for all calls; a second one, with a state directory, writes the cached list (cache.go).
// The package never changes the list by itself: without an answer the last list stays in use.
package discovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"merlinpick/internal/atomicfile"
	"merlinpick/internal/failover"
)

// Source is where the list comes from: the registry's members if there are any, else the platform's address.
type Source struct {
	Address string   // HOST:PORT
	Members []string // HOST:PORT each
}

// String returns the addresses, separated by commas.
func (s Source) String() string {
	if len(s.Members) > 0 {
		return strings.Join(s.Members, ",")
	}
	return s.Address
}

func (s Source) equal(other Source) bool {
	if len(s.Members) > 0 || len(other.Members) > 0 {
		return slices.Equal(s.Members, other.Members)
	}
	return s.Address == other.Address
}

// Config is the configuration of a Client.
type Config struct {
	Source Source
	// Callers is the approximate number of clients of the platform's discovery (EstimateCallers); 0: not known.
	Callers  int
	Pushed   bool   // the platform list comes from a local agent that has no other callers
	Seed     uint64 // of the order of members, and of random delays
	CacheDir string // directory of the cached list, for a registry; empty: it is not cached
	Logger   *slog.Logger
}

// Update is an answer of the source: a full list, or the changes since the update before.
type Update struct{ List *List }

// Client follows the list of endpoints.
type Client struct {
	cfg        Config
	log        *slog.Logger
	http       *http.Client
	connect    func(Source) *http.Client // newHTTPClient, replaced by tests
	randomness *rand.Rand

	updates       chan Update
	done          <-chan struct{} // closed when Run has to end
	unreachable   chan struct{}   // closed once discovery could not be reached
	sourceChanges chan Source     // the latest only

	source   Source // Run's
	platform platformState
	registry registryState
	cache    *atomicfile.Writer // nil: the list is not cached

	callCounts                    callCounter // of the platform list
	lastSuccess                   failover.LastSuccess
	failovers, failures, retained atomic.Int64
	fromRegistry                  atomic.Bool
}

// New returns a client. Run has it follow the list.
func New(cfg Config) *Client {
	c := &Client{
		cfg: cfg, log: cfg.Logger, http: newHTTPClient(cfg.Source), connect: newHTTPClient,
		randomness: rand.New(rand.NewPCG(cfg.Seed, 23)),
		updates:    make(chan Update), unreachable: make(chan struct{}), sourceChanges: make(chan Source, 1),
		source: cfg.Source,
	}
	c.platform.version = -1
	c.platform.scheduler = pollScheduler{callers: cfg.Callers, agent: cfg.Pushed, randomDelay: c.randomDelay}
	if cfg.CacheDir != "" && len(cfg.Source.Members) > 0 {
		c.cache = newCacheWriter(cfg.CacheDir, cfg.Logger)
	}
	c.fromRegistry.Store(len(cfg.Source.Members) > 0)
	return c
}

// SetInitialList sets the full list that the client starts from: of a registry the cached list, of the platform the list
// in the proxy's configuration, from whose version the first call then continues. It must be called before Run.
func (c *Client) SetInitialList(list *List) {
	if len(c.source.Members) > 0 {
		c.registry.replaceEndpoints(list)
	} else if list.Snapshot {
		c.platform.version = list.Version
	}
}

// Updates returns the channel of updates. The next watch starts only once an update was received.
func (c *Client) Updates() <-chan Update { return c.updates }

// Unreachable returns a channel that is closed once a call for the platform list has shown that discovery cannot be
// reached: its connection was refused or lost, or it was rejected without waiting in the queue.
func (c *Client) Unreachable() <-chan struct{} { return c.unreachable }

// SetSource has the list come from another source from now on. The current list stays in use until that has answered.
// It may be called from any goroutine.
func (c *Client) SetSource(source Source) {
	for {
		select {
		case c.sourceChanges <- source:
			return
		case <-c.sourceChanges: // replaces an earlier one that was not taken yet
		}
	}
}

// Run follows the list until the context ends. A change of source cancels the call in flight, and the new source is called
// at once, from the version held.
func (c *Client) Run(ctx context.Context) {
	defer func() { c.http.CloseIdleConnections() }()
	c.done = ctx.Done()
	if c.cache != nil {
		defer c.cache.Run(ctx)()
	}
	for ctx.Err() == nil {
		sourceCtx, cancel := context.WithCancel(ctx)
		next := c.awaitSourceChange(sourceCtx, cancel)
		if len(c.source.Members) > 0 {
			c.followRegistry(sourceCtx)
		} else {
			c.followPlatform(sourceCtx)
		}
		cancel()
		if source, changed := <-next; changed {
			c.changeSource(source)
		}
	}
}

// awaitSourceChange cancels the calls to the current source once there is another one, which it sends on the channel
// returned. The channel is closed when the context has ended.
func (c *Client) awaitSourceChange(ctx context.Context, cancel context.CancelFunc) <-chan Source {
	next := make(chan Source, 1)
	go func() {
		defer close(next)
		for {
			select {
			case source := <-c.sourceChanges:
				if source.equal(c.source) {
					continue
				}
				next <- source
				cancel()
			case <-ctx.Done():
			}
			return
		}
	}()
	return next
}

// changeSource resets what was known of the former source.
func (c *Client) changeSource(source Source) {
	c.log.Info("endpoint list source changed", "from", c.source, "to", source)
	c.source = source
	c.fromRegistry.Store(len(source.Members) > 0)
	c.registry.sourceChanged = true
	c.platform.watching = false
	c.platform.rejectedSinceSuccess, c.platform.watchTimedOut = false, false
	c.platform.scheduler.reset()
	c.scheduleResync() // the versions of another service may mean something else
	c.http.CloseIdleConnections()
	c.http = c.connect(source)
}

// publish sends an update. A change of source waits for it: the version held includes it, and the next call continues from
// there.
func (c *Client) publish(update Update) {
	select {
	case c.updates <- update:
	case <-c.done:
	}
}

func (c *Client) sleep(ctx context.Context, d time.Duration) { failover.Sleep(ctx, d) }

// randomDelay returns a random duration from 0 to below limit.
func (c *Client) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(c.randomness.Int64N(int64(limit)))
}
