// Package rollout follows the configuration of a service at the registry's members. It passes each new
// version to an Applier, which in a proxy does what SIGHUP does. It does not interpret documents, and never
// removes a configuration: if the registry has none, the applied one stays in place.
//
// Run's goroutine makes the calls and applies documents. With a state directory, a second goroutine writes
// the applied document (cache.go). Each watch (a call that the member holds until there is a change) reports
// the applied version, or the rejected one with the reason, so that any member can tell operators where a
// configuration is applied.
//
// A change is applied within the following times after it is confirmed, not counting the Applier's own time.
// A member that answers has proved, within its own bound of staleness (2.25 s, which runs at the same time),
// that it has the change; otherwise it answers 503. H = 3 s is the longest hold, S = 1 s its slack, J = 0.6 s
// the failover jitter, C = 1 s the timeout of a first call. A silent member accepts calls and does not answer
// them:
//
//	member that is watched                  sum                        s
//	answers                                 registry's coalescing      0.05
//	is down                                 J + C                      1.6
//	is silent                               H + S + J + C              5.6
//	is silent, and the next one too         H + S + 2 (J + C)          7.2
//	is partitioned                          2.25 + J + C               3.85
//	is partitioned, the next is silent      2.25 + 2 (J + C)           5.45
//	all were down, now are back             maxBackoff + 2 C           4
//	  and the first one called is silent    2 (maxBackoff + 2 C)       8
//
// Package failover decides which member is called, when, and which versions are accepted. A rejected document
// is tried again only after RetryRejected; the next version is tried as usual.
package rollout

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"merlinpick/internal/atomicfile"
	"merlinpick/internal/failover"
)

const (
	// LongPollTimeout is the longest time for which a member may hold a watch.
	LongPollTimeout = 3 * time.Second

	// holdJitter is the most by which a hold is shortened at random, so that the watches of a fleet do not
	// end at the same time.
	holdJitter = time.Second
	// watchSlack is the time after the hold until a watch counts as timed out.
	watchSlack = time.Second
	// callTimeout is for a call that does not wait for a change. It is doubled once all members have failed.
	callTimeout = time.Second
	maxBackoff  = 2 * time.Second // while all members fail

	maxResponseBytes = 256 << 10
	maxReasonBytes   = 200 // length of the reported reason why a version was rejected
)

// Applier applies versions of the configuration. An error means that the version is rejected and nothing was
// changed.
type Applier interface {
	Apply(version int64, document []byte) error
}

// Config is the configuration of a Client.
type Config struct {
	Service   string
	ProxyName string   // reported to the members with the applied version; empty: no reports
	Members   []string // HOST:PORT each, at least one
	Seed      uint64   // of the random order of members and of random delays
	CacheDir  string   // directory of the cached configuration; empty: no cache
	Logger    *slog.Logger
}

// Metrics are a client's counters and gauges.
type Metrics struct {
	Version         int64         // the applied version; 0: the proxy's own file
	RejectedVersion int64         // the latest version if it was rejected; 0: it was not
	Applied         int64         // number of documents applied
	Age             time.Duration // since the last answer of a member; negative: no answer yet
	Failures        int64         // failed calls
}

// Client follows the configuration of a service.
type Client struct {
	cfg         Config
	applier     Applier
	http        *http.Client
	randomness  *rand.Rand
	cache       *atomicfile.Writer // nil: no cache
	lastSuccess failover.LastSuccess

	// The following are used by Run's goroutine only.
	accepted         failover.AcceptedVersion
	appliedDocument  []byte
	rejectedDocument []byte // nil: none

	mu            sync.Mutex // guards the fields below
	metrics       Metrics
	rejectReason  string
	newMembers    []string // requested by SetMembers; nil: none
	retryRejected bool     // requested by RetryRejected
}

// New returns a client. It makes no calls until Run is called.
func New(cfg Config, applier Applier) *Client {
	c := &Client{cfg: cfg, applier: applier, http: failover.NewHTTPClient(),
		randomness: rand.New(rand.NewPCG(cfg.Seed, 29))}
	if cfg.CacheDir != "" {
		c.cache = newCacheWriter(cfg.CacheDir, cfg.Logger)
	}
	return c
}

// SetInitial sets the cached configuration that the client starts from. err is the reason if it was rejected,
// or nil if it was applied. It must be called before Run.
func (c *Client) SetInitial(cached *CachedConfig, err error) {
	c.accepted = failover.AcceptedVersion{Epoch: cached.Epoch, Version: cached.Version,
		ConfirmedAt: time.Now()}
	c.recordResult(cached.Version, cached.Document, err)
}

// recordResult records that a document was applied, or was rejected with an error.
func (c *Client) recordResult(version int64, document []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.metrics.RejectedVersion, c.rejectReason, c.rejectedDocument = version, err.Error(), document
		c.rejectReason = c.rejectReason[:min(len(c.rejectReason), maxReasonBytes)]
		return
	}
	c.metrics.Version, c.appliedDocument = version, document
	c.metrics.RejectedVersion, c.rejectReason, c.rejectedDocument = 0, "", nil
}

// Metrics returns the current values. It may be called from any goroutine.
func (c *Client) Metrics() Metrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	metrics := c.metrics
	metrics.Age = c.lastSuccess.Age()
	return metrics
}

// SetMembers replaces the members to call, from the next call on. It may be called from any goroutine.
func (c *Client) SetMembers(members []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newMembers = members
}

// RetryRejected requests that a rejected document is tried once more before the next call. It is called when
// the proxy's own file has changed, and may be called from any goroutine.
func (c *Client) RetryRejected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retryRejected = true
}

// takePendingChanges retries a rejected document if RetryRejected was called, and returns the members that
// SetMembers has set since the last call, or nil.
func (c *Client) takePendingChanges(ctx context.Context) []string {
	c.mu.Lock()
	members, retryRejected, rejected := c.newMembers, c.retryRejected, c.metrics.RejectedVersion
	c.newMembers, c.retryRejected = nil, false
	c.mu.Unlock()
	if retryRejected && c.rejectedDocument != nil {
		c.applyDocument(ctx, rejected, c.rejectedDocument)
	}
	return members
}

// Run follows the configuration until the context ends.
func (c *Client) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	if c.cache != nil {
		defer c.cache.Run(ctx)()
	}
	ring := failover.NewRing(c.cfg.Members, c.randomness, maxBackoff)
	watch := false // the last call succeeded, so the next one is a watch
	failures := 0  // consecutive failed calls
	for ctx.Err() == nil {
		if members := c.takePendingChanges(ctx); len(members) > 0 {
			ring = failover.NewRing(members, c.randomness, maxBackoff)
			watch = false
		}
		hold, timeout := c.callTiming(ring, watch, failures)
		calledAt, versionBefore := time.Now(), c.accepted.Version
		answer, err := c.call(ctx, ring.Current(), hold, timeout)
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		if err == nil {
			err = c.accept(ctx, answer, now)
		}
		if err != nil {
			watch = false
			failures++
			c.countFailure()
			failure := ring.LogFailure(c.cfg.Logger, "configuration call failed", err)
			failover.Sleep(ctx, failure.Backoff)
			continue
		}
		c.lastSuccess.Record()
		if watch && c.accepted.Version == versionBefore {
			ring.PaceWatch(ctx, now.Sub(calledAt), hold)
		}
		ring.RecordSuccess()
		watch, failures = true, 0
	}
}

// callTiming returns for how long a member may hold the next call, and the timeout of that call.
func (c *Client) callTiming(ring *failover.Ring, watch bool, failures int) (hold, timeout time.Duration) {
	if watch {
		hold = LongPollTimeout - ring.RandomDelay(holdJitter)
		return hold, hold + watchSlack
	}
	if failures >= len(c.cfg.Members) { // when all members have failed they are probably busy
		return 0, 2 * callTimeout
	}
	return 0, callTimeout
}

func (c *Client) countFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.metrics.Failures++
}

// accept applies what is new in an answer, or returns an error that says why the answer is discarded.
func (c *Client) accept(ctx context.Context, answer *response, now time.Time) error {
	if err := c.accepted.Check(answer.Epoch, *answer.Version, now); err != nil {
		return err
	}
	if answer.Epoch == c.accepted.Epoch && *answer.Version == c.accepted.Version {
		c.accepted.ConfirmedAt = now
		return nil
	}
	if *answer.Version > 0 && len(answer.Document) == 0 {
		return &malformedAnswerError{errors.New("the answer has a new version but no document")}
	}
	if c.accepted.Epoch != "" && answer.Epoch != c.accepted.Epoch {
		c.cfg.Logger.Warn("configuration epoch changed", "service", c.cfg.Service, "epoch", answer.Epoch,
			"version", *answer.Version, "previous_epoch", c.accepted.Epoch,
			"previous_version", c.accepted.Version)
	}
	c.accepted = failover.AcceptedVersion{Epoch: answer.Epoch, Version: *answer.Version, ConfirmedAt: now}
	if *answer.Version > 0 {
		c.applyDocument(ctx, *answer.Version, answer.Document)
	}
	return nil
}

// applyDocument applies a document and caches it. If the same document is applied already, as after a restore
// of the registry, only the version changes.
func (c *Client) applyDocument(ctx context.Context, version int64, document []byte) {
	var err error
	if c.appliedDocument == nil || !bytes.Equal(document, c.appliedDocument) {
		err = c.applier.Apply(version, document)
	}
	if ctx.Err() != nil {
		return
	}
	c.recordResult(version, document, err)
	if err != nil {
		c.cfg.Logger.Error("configuration rejected", "service", c.cfg.Service, "version", version,
			"applied_version", c.Metrics().Version, "error", err)
		return
	}
	c.mu.Lock()
	c.metrics.Applied++
	c.mu.Unlock()
	c.cfg.Logger.Info("configuration applied", "service", c.cfg.Service, "version", version)
	if c.cache != nil {
		cached := &CachedConfig{c.cfg.Service, c.accepted.Epoch, version, document}
		c.cache.Put(cached.encode)
	}
}
