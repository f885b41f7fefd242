// Package upstream is the proxy's side towards the backends: a pool of connections, and attempts that send one request to
// one backend and read its response. It does not choose a backend and does not retry: whether there is another attempt is
// the balancer's decision.
//
// An attempt runs in the goroutine that calls Run, and owns its connection for as long. A readAhead has a goroutine that
// ends with the attempt's connection. The pool has none: SweepIdle is to be called about once a second.
package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/invariant"
)

// staleConnWindow: a request on a reused connection that breaks within it is taken as sent on a connection that the backend
// had already closed.
const staleConnWindow = 100 * time.Millisecond

// Request is what a client's request sends to a backend. Its attempts use it one after the other.
type Request struct {
	ID            string
	Method        string
	URI           string // path and query as they came
	Host          string
	Header        http.Header   // Request-Timeout-Ms is set by each attempt
	Timeout       time.Duration // how long the client waits, from the last byte of the request on
	NonIdempotent bool          // it must never be executed twice
	Body          []byte        // as much of it as is buffered

	// Of a body that is too large to be buffered.
	BodyRemainder  io.Reader                 // what follows Body
	ContentLength  int64                     // of all of it; -1: unknown
	BodyConsumed   bool                      // some of BodyRemainder has been read: no other attempt can send it
	ClientDeadline atomic.Pointer[time.Time] // once the body's last byte is known to have come; nil before

	// ClientGone reports whether nobody waits for the response any more; nil: somebody does. Any goroutine may call it.
	ClientGone func() bool
}

func (r *Request) clientGone() bool { return r.ClientGone != nil && r.ClientGone() }

// Server is where an attempt goes, as it was listed when the attempt was created.
type Server struct {
	Name string
	Zone string
	Cell int
}

// Params are what an attempt is to do.
type Params struct {
	Request      *Request
	Deadline     time.Time // for the response
	SendDeadline time.Time // the request's last byte is sent before it or never; zero: no limit
	Uploading    bool      // the body is still coming: CompleteBody sets another deadline

	// StartStream hands a response that is streamed to the client's side, sets its ClientDeadline, and returns whether the
	// client's side takes it.
	StartStream func(*Stream) bool
}

// Attempt is one attempt of a request at a backend.
type Attempt struct {
	pool         *Pool
	request      *Request
	deadline     time.Time
	sendDeadline time.Time
	bodyComplete chan time.Time // gets the deadline once the body has come; nil unless it is still coming
	startStream  func(*Stream) bool

	backend    *backend
	generation int
	address    string
	server     Server

	ctx    context.Context
	cancel context.CancelFunc
}

// Result is how an attempt ended.
type Result struct {
	Status      balancer.Status
	Body        []byte // of a 200 that was not streamed
	ContentType string
}

// NewAttempt creates an attempt at a backend by its name; false if the list has none of this name that takes new requests.
// Cancel, or the context's end, stops it.
func (p *Pool) NewAttempt(ctx context.Context, server string, params Params) (*Attempt, bool) {
	a := &Attempt{pool: p, request: params.Request, deadline: params.Deadline, sendDeadline: params.SendDeadline,
		startStream: params.StartStream}
	if !p.assign(a, server) {
		return nil, false
	}
	if params.Uploading {
		a.bodyComplete = make(chan time.Time, 1)
	}
	a.ctx, a.cancel = context.WithCancel(ctx)
	return a, true
}

// assign gives an attempt a backend as it is listed now; false if there is none that takes new requests.
func (p *Pool) assign(a *Attempt, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.byName[name]
	if b == nil || !b.available {
		return false
	}
	a.backend, a.address, a.generation = b, b.address, b.generation
	a.server = Server{Name: b.name, Zone: b.zone, Cell: b.cell}
	return true
}

// Server is where the attempt goes.
func (a *Attempt) Server() Server { return a.server }

// Cancel stops the attempt: its connection is closed, and Run returns soon.
func (a *Attempt) Cancel() { a.cancel() }

// CompleteBody notifies an attempt, once, that the body is complete, and sets the deadline for the response. It does nothing
// unless the body was still coming when the attempt was created.
func (a *Attempt) CompleteBody(deadline time.Time) {
	if a.bodyComplete != nil {
		a.bodyComplete <- deadline
	}
}

// Run carries the attempt out and returns when nothing of it is left. The caller then calls Cancel.
func (a *Attempt) Run() Result {
	c := a.pool.takeIdle(a.backend, a.generation, a.request.NonIdempotent)
	if c == nil {
		c = a.pool.awaitReusable(a.ctx, a.backend, a.generation)
	}
	if c == nil {
		if a.request.clientGone() {
			return Result{Status: balancer.StatusNotSent} // a connection costs the backend work
		}
		var err error
		if c, err = a.dial(); err != nil {
			if a.ctx.Err() != nil || a.pastSendWindow() || isLocalShortage(err) || errors.Is(err, errGenerationChanged) {
				return Result{Status: balancer.StatusNotSent} // no fault of the backend's
			}
			return Result{Status: balancer.StatusConnectFailed}
		}
	}
	// The dial took time, and so did the way here. Nothing is sent for an attempt that was cancelled or is too late, to a
	// backend that has changed, or for a client that has gone, of which the context may hear later.
	if a.ctx.Err() != nil || a.pastDeadline() || !a.pool.isCurrent(a.backend, a.generation) || a.request.clientGone() {
		a.pool.putIdle(c)
		return Result{Status: balancer.StatusNotSent}
	}
	result, reusable := a.exchange(c)
	a.release(c, result.Status, reusable)
	return result
}

// release gives the connection back to the pool or closes it.
func (a *Attempt) release(c *conn, status balancer.Status, reusable bool) {
	switch {
	case reusable:
		a.pool.putIdle(c)
	case status == balancer.StatusOK, status == balancer.StatusError, status == balancer.StatusRejected:
		a.pool.audit.Count(audit.BackendConnDone)
		a.pool.closeConn(c)
	default:
		a.pool.resetAndClose(c)
	}
}

func (a *Attempt) pastDeadline() bool { return !time.Now().Before(a.deadline) }

// pastSendWindow reports whether the request may not be sent any more: the connection came up too late.
func (a *Attempt) pastSendWindow() bool {
	return !a.sendDeadline.IsZero() && !time.Now().Before(a.sendDeadline)
}

// sendLimit is when the request's last byte must be sent: the deadline, or the send window's end if that is sooner.
func (a *Attempt) sendLimit() time.Time {
	if !a.sendDeadline.IsZero() && a.sendDeadline.Before(a.deadline) {
		return a.sendDeadline
	}
	return a.deadline
}

func (a *Attempt) dial() (*conn, error) {
	ctx, cancel := context.WithDeadline(a.ctx, a.sendLimit())
	defer cancel()
	return a.pool.dial(ctx, a.backend, a.address, a.generation)
}

// localShortages are errors of a connect for what this machine is short of: ports, memory or descriptors.
var localShortages = []error{errConnLimit, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE,
	syscall.EAGAIN}

// isLocalShortage reports whether a connect failed for a shortage of the proxy itself, which is no fault of the backend.
func isLocalShortage(err error) bool {
	return slices.ContainsFunc(localShortages, func(s error) bool { return errors.Is(err, s) })
}

// checkFirstByte checks the rules at the moment in which the attempt's first byte is sent.
func (a *Attempt) checkFirstByte(moment time.Time) {
	if a.pool.audit == nil {
		return
	}
	first := invariant.FirstByte{Request: a.request.ID, Server: a.server.Name, SentAt: moment, Deadline: a.deadline}
	first.UnavailableSince, first.Grace = a.pool.unavailableSince(a.backend)
	a.pool.audit.RecordViolations(first.Check()...)
}
