// Package discovery follows the list of endpoints and publishes each change to it. It calls by long polling:
// a watch is a call that the server holds until there is a change. There are two kinds of source:
//
//   - the platform's discovery service, at one address (Source.Address): one watch after another, see
//     platform.go;
//   - the registry, with several members (Source.Members): watches at one member, with failover to another
//     when a call fails, see registry.go.
//
// freshness.go lists how old the list may get under each kind of failure, and what follows from that age.
//
// Run's goroutine makes the calls or waits for them. With a state directory, a second goroutine writes the
// cached list (cache.go). While calls fail, the last list stays in use.
package discovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"merlinpick/internal/atomicfile"
	"merlinpick/internal/failover"
)

// Source says where the list comes from: the registry if it has Members, else the platform's discovery at
// Address.
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

// Equal reports whether the list comes from the same place.
func (s Source) Equal(other Source) bool {
	if len(s.Members) > 0 || len(other.Members) > 0 {
		return slices.Equal(s.Members, other.Members)
	}
	return s.Address == other.Address
}

// Config is the configuration of a Client.
type Config struct {
	Source Source
	// Callers is the approximate number of clients that call the platform's discovery (EstimateCallers); 0:
	// unknown.
	Callers    int
	LocalAgent bool   // the platform list comes from a local agent, which has no other callers
	Seed       uint64 // of the random order of members and of random delays
	CacheDir   string // directory of the cached registry list; empty: no cache
	Logger     *slog.Logger
}

// Update is an answer of the source: a full list, or the changes since the previous update. Or it is the full
// list of another process of the proxy.
type Update struct {
	List             *List
	Source           Source // where the list comes from
	FromOtherProcess bool   // set by AdoptList; discovery has not confirmed the list to this process
	HighestVersion   int64  // of the other process, see HeldList; 0: not from another process
}

// Client follows the list of endpoints.
type Client struct {
	cfg            Config
	log            *slog.Logger
	http           *http.Client
	makeHTTPClient func(Source) *http.Client // newHTTPClient, replaced by tests
	randomness     *rand.Rand

	updates       chan Update
	done          <-chan struct{} // closed when Run has to return
	unreachable   chan struct{}   // closed at the first failure to reach discovery
	sourceChanges chan Source     // holds only the latest source requested

	// holding guards the held list while it is replaced and published, by an answer or by AdoptList: source,
	// heldFrom, confirmed, platform.version and registry. Run's goroutine alone changes source, and reads it
	// without the lock.
	holding   sync.Mutex
	source    Source
	heldFrom  Source // where the held list comes from
	confirmed bool   // a source has answered
	platform  platformState
	registry  registryState

	cache *atomicfile.Writer // nil: no cache

	callCounts                    callCounter // calls for the platform list
	lastSuccess                   failover.LastSuccess
	failovers, failures, retained atomic.Int64
	fromRegistry                  atomic.Bool
}

// New returns a client. It makes no calls until Run is called.
func New(cfg Config) *Client {
	c := &Client{
		cfg: cfg, log: cfg.Logger, http: newHTTPClient(cfg.Source), makeHTTPClient: newHTTPClient,
		randomness: rand.New(rand.NewPCG(cfg.Seed, 23)),
		updates:    make(chan Update), unreachable: make(chan struct{}), sourceChanges: make(chan Source, 1),
		source: cfg.Source,
	}
	c.platform.version = -1
	c.platform.scheduler = pollScheduler{callers: cfg.Callers, agent: cfg.LocalAgent,
		randomDelay: c.randomDelay}
	if cfg.CacheDir != "" && len(cfg.Source.Members) > 0 {
		c.cache = newCacheWriter(cfg.CacheDir, cfg.Logger)
	}
	c.fromRegistry.Store(len(cfg.Source.Members) > 0)
	return c
}

// SetInitialList sets the full list that the client starts from: the cached list of a registry, or the list
// in the proxy's configuration for the platform, in which case the first call requests the changes since its
// version. It must be called before Run.
func (c *Client) SetInitialList(list *List) {
	c.heldFrom = c.source
	if len(c.source.Members) > 0 {
		c.registry.replaceEndpoints(list)
	} else if list.Snapshot {
		c.platform.version = list.Version
	}
}

// Updates returns the channel of updates. The client starts its next call only when an update has been
// received.
func (c *Client) Updates() <-chan Update { return c.updates }

// Unreachable returns a channel that is closed once a call for the platform list has shown that discovery
// cannot be reached: the connection was refused or lost, or the call was rejected without waiting in the
// queue.
func (c *Client) Unreachable() <-chan struct{} { return c.unreachable }

// SetSource replaces the source of the list. The current list stays in use until the new source has answered.
// It may be called from any goroutine.
func (c *Client) SetSource(source Source) {
	for {
		select {
		case c.sourceChanges <- source:
			return
		case <-c.sourceChanges: // discard an earlier source that Run has not received yet
		}
	}
}

// Run follows the list until the context ends. A change of source cancels the call in flight; the new source
// is called at once, for the changes since the held version.
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

// awaitSourceChange waits for another source, sends it on the returned channel and cancels the calls to the
// current one. The channel is closed after that, or when the context has ended.
func (c *Client) awaitSourceChange(ctx context.Context, cancel context.CancelFunc) <-chan Source {
	next := make(chan Source, 1)
	go func() {
		defer close(next)
		for {
			select {
			case source := <-c.sourceChanges:
				if source.Equal(c.source) {
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

// changeSource switches to another source and resets what was learned from the previous one.
func (c *Client) changeSource(source Source) {
	c.log.Info("endpoint list source changed", "from", c.source, "to", source)
	c.holding.Lock()
	c.source = source
	c.registry.sourceChanged = true
	c.holding.Unlock()
	c.fromRegistry.Store(len(source.Members) > 0)
	c.platform.watching = false
	c.platform.rejectedSinceSuccess, c.platform.watchTimedOut = false, false
	c.platform.scheduler.reset()
	c.scheduleResync() // another service may use versions of its own
	c.http.CloseIdleConnections()
	c.http = c.makeHTTPClient(source)
}

// publish sends an update and waits until it is received, or until done is closed. A change of source waits
// too: the held version already includes the update, and the next call continues from that version.
func (c *Client) publish(done <-chan struct{}, update Update) {
	select {
	case c.updates <- update:
	case <-done:
	}
}

func (c *Client) sleep(ctx context.Context, d time.Duration) { failover.Sleep(ctx, d) }

// randomDelay returns a random duration in [0, limit), or 0 if limit is 0 or negative.
func (c *Client) randomDelay(limit time.Duration) time.Duration {
	return failover.RandomDelay(c.randomness, limit)
}
