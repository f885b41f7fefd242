// Package upstream implements the proxy's side towards the backends: a pool of connections, and attempts that
// send one request to one backend and read its response. It neither chooses a backend nor retries: both are
// decisions of the balancer.
//
// An attempt runs in the goroutine that calls Run, and owns its connection until Run returns. A readAhead
// starts a goroutine that ends when the attempt closes its connection. The pool starts none: SweepIdle must
// be called about once a second.
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

// staleConnWindow is how soon after sending a request a reused connection must break for the pool to assume
// that the backend had already closed it.
const staleConnWindow = 100 * time.Millisecond

// Request is a client's request as it is sent to a backend. Its attempts use it one after the other.
type Request struct {
	ID            string
	Method        string
	URI           string // path and query as received
	Host          string
	Header        http.Header   // each attempt sets Request-Timeout-Ms
	Timeout       time.Duration // how long the client waits after sending the last byte of the request
	NonIdempotent bool          // it must never be executed twice
	Body          []byte        // the buffered part of the body

	// These fields are for a body that is too large to be buffered.
	BodyRemainder io.Reader // the part after Body
	ContentLength int64     // of the complete body, in bytes; -1: unknown
	// BodyConsumed states that part of BodyRemainder has been read, so that no other attempt can send it.
	BodyConsumed bool
	// ClientDeadline is set once the last byte of the body is known to have arrived; nil before.
	ClientDeadline atomic.Pointer[time.Time]

	// ClientGone reports whether the client has disconnected; nil means that it has not. Any goroutine may
	// call it.
	ClientGone func() bool
}

func (r *Request) clientGone() bool { return r.ClientGone != nil && r.ClientGone() }

// Server is the destination of an attempt, as it was listed when the attempt was created.
type Server struct {
	Name string
	Zone string
	Cell int
}

// Params holds the parameters of an attempt.
type Params struct {
	Request      *Request
	Deadline     time.Time // for the response
	SendDeadline time.Time // the request's last byte must be sent before it; zero: no limit
	Uploading    bool      // the body is still being received: CompleteBody sets the final deadline

	// StartStream passes a streamed response to the client's side and sets its ClientDeadline. It returns
	// false if the client's side does not accept the response.
	StartStream func(*Stream) bool
}

// Attempt is one attempt of a request at a backend.
type Attempt struct {
	pool         *Pool
	request      *Request
	deadline     time.Time
	sendDeadline time.Time
	// bodyComplete receives the deadline once the body is complete; nil if the body was buffered.
	bodyComplete chan time.Time
	startStream  func(*Stream) bool

	backend    *backend
	generation int
	address    string
	server     Server

	ctx    context.Context
	cancel context.CancelFunc
}

// Result is the outcome of an attempt.
type Result struct {
	Status      balancer.Status
	Body        []byte // of a 200 response that was not streamed
	ContentType string
}

// NewAttempt creates an attempt at the named backend. It returns false if no backend of this name is listed
// and accepts new requests. Cancel, or the end of ctx, stops the attempt.
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

// assign sets an attempt's backend, as it is listed now. It returns false if the backend is not listed or
// accepts no new requests.
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

// Server returns the destination of the attempt.
func (a *Attempt) Server() Server { return a.server }

// Cancel stops the attempt: its connection is closed, and Run returns soon.
func (a *Attempt) Cancel() { a.cancel() }

// CompleteBody tells an attempt that the body is complete, and sets the deadline for the response. It must be
// called only once. It does nothing if the body was complete when the attempt was created.
func (a *Attempt) CompleteBody(deadline time.Time) {
	if a.bodyComplete != nil {
		a.bodyComplete <- deadline
	}
}

// Run carries out the attempt and returns when it is over. The caller must then call Cancel.
func (a *Attempt) Run() Result {
	c := a.pool.takeIdle(a.backend, a.generation, a.request.NonIdempotent)
	if c == nil {
		c = a.pool.awaitReusable(a.ctx, a.backend, a.generation)
	}
	if c == nil {
		if a.request.clientGone() {
			return Result{Status: balancer.StatusNotSent} // saves the backend the cost of a new connection
		}
		var err error
		if c, err = a.dial(); err != nil {
			if a.ctx.Err() != nil || a.pastSendWindow() || isLocalResourceError(err) ||
				errors.Is(err, errGenerationChanged) {
				return Result{Status: balancer.StatusNotSent} // not the backend's fault
			}
			return Result{Status: balancer.StatusConnectFailed}
		}
	}
	// Conditions may have changed since the attempt was created, above all during the dial. Send nothing if
	// the attempt was cancelled or is past its deadline, if the backend has changed, or if the client has
	// disconnected, which may be known before the context is cancelled.
	if a.ctx.Err() != nil || a.pastDeadline() || !a.pool.isCurrent(a.backend, a.generation) || a.request.clientGone() {
		a.pool.putIdle(c)
		return Result{Status: balancer.StatusNotSent}
	}
	result, reusable := a.exchange(c)
	a.release(c, result.Status, reusable)
	return result
}

// release returns the connection to the pool or closes it.
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

// pastSendWindow reports whether it is too late to send the request, since the connection was established too
// late.
func (a *Attempt) pastSendWindow() bool {
	return !a.sendDeadline.IsZero() && !time.Now().Before(a.sendDeadline)
}

// sendLimit returns when the request's last byte must have been sent: at the deadline, or at the end of the
// send window if that is sooner.
func (a *Attempt) sendLimit() time.Time {
	if !a.sendDeadline.IsZero() && a.sendDeadline.Before(a.deadline) {
		return a.sendDeadline
	}
	return a.deadline
}

// dial opens a connection to the attempt's backend before sendLimit.
func (a *Attempt) dial() (*conn, error) {
	ctx, cancel := context.WithDeadline(a.ctx, a.sendLimit())
	defer cancel()
	return a.pool.dial(ctx, a.backend, a.address, a.generation)
}

// localResourceErrors are the errors of a dial that fails for lack of a resource on this machine:
// connections, ports, memory or file descriptors.
var localResourceErrors = []error{errConnLimit, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EMFILE, syscall.ENFILE, syscall.EAGAIN}

// isLocalResourceError reports whether a dial failed for lack of a local resource, which is not the backend's
// fault.
func isLocalResourceError(err error) bool {
	return slices.ContainsFunc(localResourceErrors, func(s error) bool { return errors.Is(err, s) })
}

// checkFirstByte checks the rules for an attempt whose first byte is sent at sentAt, and reports those that
// it breaks.
func (a *Attempt) checkFirstByte(sentAt time.Time) {
	if a.pool.audit == nil {
		return
	}
	first := invariant.FirstByte{Request: a.request.ID, Server: a.server.Name, SentAt: sentAt,
		Deadline: a.deadline}
	first.UnavailableSince, first.Grace = a.pool.unavailableSince(a.backend)
	a.pool.audit.RecordViolations(first.Check()...)
}
