// Package rollout follows the configuration of a service at the list service's members, and has each new document put in
// force. What that means is its Applier's: a proxy does what SIGHUP does.
//
// One goroutine, Run's, makes the calls, has documents applied and knows what came of it; a second one, if there is a
// folder, writes down what is in force. There are no messages but watches: each says what is in force here, or which
// version was refused and why, so that any member can tell on-call staff.
//
// How long a change may take, from its confirmation until the Applier has returned (its own time is not in it). A member
// that answers has proved within its own bound (2.25 s after the confirmation, which runs meanwhile) that it has the
// change, or says 503. H = 3 s is the longest hold, S = 1 s the slack after it, P = 0.6 s the longest pause, C = 1 s the
// patience with a first call:
//
//	the member of the watch          sum                        s
//	tells                            settle                     0.05
//	dies                             P + C                      1.6
//	falls silent                     H + S + P + C              5.6
//	falls silent, and the next too   H + S + 2 (P + C)          7.2
//	is cut off                       2.25 + P + C               3.85
//	is cut off, the next is silent   2.25 + 2 (P + C)           5.45
//	all are away, then back          pauseMost + 2 C            4
//	  and the first asked is silent  2 (pauseMost + 2 C)        8
//
// rollout_test.go holds the client to these.
//
// Versions are believed by failover.Lineage: within a line nothing older, another line if its versions lie above (as they
// do after a restore, or in a service that begins anew), and one that lies below only once nobody has answered for the
// former one for failover.LineWait. A service that has no configuration takes none away: what is in force stays.
//
// A document that is refused is not tried again: the next version is, or this one after Again.
//
// Rejected: changes as entries of the list (each proxy would hear all 88 services'); the fleet's gossip (full at 30
// proxies, and best effort); a message of its own for what is in force (one more each change and proxy, and lost ones
// to be repeated; a watch comes again anyway); documents as differences (a proxy that missed one is wrong for good).
package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"merlinpick/internal/atomicfile"
	"merlinpick/internal/failover"
)

const (
	// Hold is how long a watch waits for news at most; holdSpread less, at least, so that the watches of a fleet do not
	// begin and end together for ever.
	LongPollTimeout = 3 * time.Second
	holdJitter      = time.Second
	watchSlack      = time.Second // after it, until the member is silent
	// callWait is for a call that need not wait; twice that once all members have failed, when they are likely to be busy.
	callTimeout      = time.Second
	maxBackoff       = 2 * time.Second
	maxResponseBytes = 256 << 10 // bytes of an answer, at most
	maxReasonBytes   = 200       // bytes of a reason
)

// Applier puts a version in force, or says why not and has changed nothing. It is in force once Apply has returned.
type Applier interface {
	Apply(version int64, document []byte) error
}

// Config is what a client is told.
type Config struct {
	Service   string
	ProxyName string // by which on-call staff finds it
	Members   []string
	Seed      uint64 // of the order of members, and of pauses
	StateDir  string // folder in which what is in force is kept; empty: none
	Logger    *slog.Logger
}

// Figures are a client's counts.
type Metrics struct {
	Version         int64         // in force; 0: what the proxy's file says
	RejectedVersion int64         // version that could not be put in force; 0: none
	Applied         int64         // documents that were put in force
	Age             time.Duration // since a member last answered; negative: none has
	Failures        int64         // calls that failed
}

// Client follows a configuration.
type Client struct {
	cfg       Config
	applier   Applier
	http      *http.Client
	rng       *rand.Rand
	cache     *atomicfile.Writer // nil without a folder
	startedAt time.Time

	// Run's alone.
	accepted         failover.AcceptedVersion
	appliedDocument  []byte // in force
	rejectedDocument []byte // refused

	mu            sync.Mutex // of what follows
	metrics       Metrics
	rejectReason  string   // of Refused
	newMembers    []string // new ones; nil: those there are
	retryRejected bool

	lastSuccess atomic.Int64 // ns after start; 0: never
}

// New is a client; Run has it follow.
func New(cfg Config, apply Applier) *Client {
	c := &Client{cfg: cfg, applier: apply, http: failover.NewHTTPClient(), rng: rand.New(rand.NewPCG(cfg.Seed, 29)), startedAt: time.Now()}
	if cfg.StateDir != "" {
		c.cache = newCacheWriter(cfg.StateDir, cfg.Logger)
	}
	return c
}

// Known has the client begin with what was kept. An error is why it is not in force. To be called before Run.
func (c *Client) SetInitial(k *CachedConfig, err error) {
	c.accepted = failover.AcceptedVersion{Epoch: k.Epoch, Version: k.Version, ConfirmedAt: time.Now()}
	c.recordResult(k.Version, k.Document, err)
}

// settle notes what came of a document.
func (c *Client) recordResult(version int64, text []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.metrics.RejectedVersion, c.rejectReason, c.rejectedDocument = version, err.Error(), text
		c.rejectReason = c.rejectReason[:min(len(c.rejectReason), maxReasonBytes)]
		return
	}
	c.metrics.Version, c.metrics.RejectedVersion, c.rejectReason, c.rejectedDocument, c.appliedDocument = version, 0, "", nil, text
}

// Figures are the counts so far.
func (c *Client) Metrics() Metrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.metrics
	f.Age = -1
	if at := c.lastSuccess.Load(); at != 0 {
		f.Age = time.Since(c.startedAt) - time.Duration(at)
	}
	return f
}

// Move has other members asked, from the next call on.
func (c *Client) SetMembers(members []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newMembers = members
}

// Again has a refused document tried once more, with the next call: what it is put above has changed.
func (c *Client) RetryRejected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retryRejected = true
}

// told takes what Move and Again have left.
func (c *Client) takeRequests() (members []string, again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	members, again = c.newMembers, c.retryRejected
	c.newMembers, c.retryRejected = nil, false
	return members, again
}

// Run follows the configuration until the context ends.
func (c *Client) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	if c.cache != nil {
		defer c.cache.Run(ctx)()
	}
	members := failover.NewRing(c.cfg.Members, c.rng, maxBackoff)
	watch, failed := false, 0
	for ctx.Err() == nil {
		other, again := c.takeRequests()
		if len(other) > 0 {
			members = failover.NewRing(other, c.rng, maxBackoff)
			watch = false
		}
		if again && c.rejectedDocument != nil {
			c.applyDocument(ctx, c.metrics.RejectedVersion, c.rejectedDocument)
		}
		asked, before := time.Now(), c.accepted
		patience := callTimeout << min(failed/len(c.cfg.Members), 1)
		hold := time.Duration(0)
		if watch {
			hold = LongPollTimeout - members.RandomDelay(holdJitter)
			patience = hold + watchSlack
		}
		a, err := c.call(ctx, members.Current(), hold, patience)
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		if err == nil {
			err = c.accept(ctx, a, now)
		}
		if err == nil {
			c.lastSuccess.Store(int64(max(1, time.Since(c.startedAt))))
			// A member that holds no watch must not have this client ask without a pause.
			if watch && c.accepted.Version == before.Version && now.Sub(asked) < hold/2 {
				failover.Sleep(ctx, members.RandomDelay(failover.Jitter))
			}
			members.RecordSuccess()
			watch, failed = true, 0
			continue
		}
		watch = false
		failed++
		c.mu.Lock()
		c.metrics.Failures++
		c.mu.Unlock()
		member := members.Current()
		f := members.RecordFailure()
		if f.ShouldLog {
			c.cfg.Logger.Warn("rollout: a member failed", "member", member, "next", f.Next, "in_a_row", f.Consecutive, "error", err)
		}
		failover.Sleep(ctx, f.Backoff)
	}
}

// reply is an answer.
type response struct {
	Service  string          `json:"service"`
	Line     string          `json:"line"`
	Version  *int64          `json:"version"`
	Document json.RawMessage `json:"document"`
}

// ask watches for what is newer, or asks for it at once, and says what is in force.
func (c *Client) call(ctx context.Context, member string, hold, patience time.Duration) (*response, error) {
	q := url.Values{"from": {strconv.FormatInt(c.accepted.Version, 10)}, "hold_ms": {strconv.FormatInt(hold.Milliseconds(), 10)}}
	if c.accepted.Epoch != "" {
		q.Set("line", c.accepted.Epoch)
	}
	c.mu.Lock()
	if c.cfg.ProxyName != "" {
		q.Set("name", c.cfg.ProxyName)
		q.Set("in_force", strconv.FormatInt(c.metrics.Version, 10))
		if c.metrics.RejectedVersion != 0 {
			q.Set("refused", strconv.FormatInt(c.metrics.RejectedVersion, 10))
			q.Set("why", c.rejectReason)
		}
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+member+"/config/"+url.PathEscape(c.cfg.Service)+"?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %.200s", resp.Status, text)
	}
	var a response
	if err := json.Unmarshal(text, &a); err != nil {
		return nil, fmt.Errorf("garbled answer: %w", err)
	}
	if a.Version == nil || *a.Version < 0 || a.Line == "" || a.Service != c.cfg.Service {
		return nil, errors.New("garbled answer: no version, or none of this service")
	}
	return &a, nil
}

// take believes an answer, or says why not, and has what is new in it put in force.
func (c *Client) accept(ctx context.Context, a *response, now time.Time) error {
	if err := c.accepted.Check(a.Line, *a.Version, now); err != nil {
		return err
	}
	if a.Line == c.accepted.Epoch && *a.Version == c.accepted.Version {
		c.accepted.ConfirmedAt = now
		return nil
	}
	if *a.Version > 0 && len(a.Document) == 0 {
		return errors.New("garbled answer: a new version without a document")
	}
	if c.accepted.Epoch != "" && a.Line != c.accepted.Epoch {
		c.cfg.Logger.Warn("rollout: another line of versions", "line", a.Line, "version", *a.Version, "former", c.accepted.Epoch,
			"former_version", c.accepted.Version)
	}
	c.accepted = failover.AcceptedVersion{Epoch: a.Line, Version: *a.Version, ConfirmedAt: now}
	if *a.Version > 0 {
		c.applyDocument(ctx, *a.Version, a.Document)
	}
	return nil
}

// put has a document put in force, and kept.
func (c *Client) applyDocument(ctx context.Context, version int64, text []byte) {
	var err error
	if c.appliedDocument == nil || !bytes.Equal(text, c.appliedDocument) { // a restored one may be what is in force
		err = c.applier.Apply(version, text)
	}
	if ctx.Err() != nil {
		return
	}
	c.recordResult(version, text, err)
	if err != nil {
		c.cfg.Logger.Error("rollout: a configuration is refused: what was in force stays", "service", c.cfg.Service, "version", version,
			"in_force", c.Metrics().Version, "error", err)
		return
	}
	c.mu.Lock()
	c.metrics.Applied++
	c.mu.Unlock()
	c.cfg.Logger.Info("rollout: a configuration is in force", "service", c.cfg.Service, "version", version)
	if c.cache != nil {
		k := &CachedConfig{c.cfg.Service, c.accepted.Epoch, version, text}
		c.cache.Put(k.encode)
	}
}
