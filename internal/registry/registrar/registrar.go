// Package registrar is the registry's client for servers: it registers a server, renews its lease, drains and
// deregisters it. It moves on to the next member if one does not answer. It does not watch the list: package
// discovery does.
package registrar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"merlinpick/internal/registry/api"
	"merlinpick/internal/registry/state"
)

const (
	callTimeout      = 2 * time.Second
	initialBackoff   = 50 * time.Millisecond
	maxBackoff       = 400 * time.Millisecond
	maxResponseBytes = 64 << 10
	renewalsPerLease = 3 // so that two renewals may fail
)

// Client calls the registry. It is safe for concurrent use.
type Client struct {
	addresses []string
	http      *http.Client
	current   atomic.Uint32 // index of the member that the next call goes to
}

// New returns a client of the members at these addresses, HOST:PORT. It calls a random one first.
func New(addresses []string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, DisableCompression: true}
	c := &Client{addresses: addresses, http: &http.Client{Timeout: callTimeout, Transport: transport}}
	c.current.Store(rand.Uint32N(uint32(len(addresses))))
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// RejectedError reports that the registry has rejected a call. Repeating the call does not help.
type RejectedError struct {
	Status int // HTTP status code
	api.ErrorBody
}

// Error returns the registry's reason and the HTTP status code.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("registry: %s (%d)", e.ErrorBody.Error, e.Status)
}

// UnavailableError reports that a member could not serve a call. The call may be repeated.
type UnavailableError struct {
	Address string
	api.ErrorBody
}

// Error returns the member's address and its reason.
func (e *UnavailableError) Error() string { return e.Address + ": " + e.ErrorBody.Error }

// Call calls one member and decodes its JSON response into out. If the member does not serve the call, later
// calls go to the next member. After an error other than *RejectedError the call may have taken effect.
func (c *Client) Call(ctx context.Context, method, path string, body, out any) error {
	current := c.current.Load()
	request, err := newRequest(ctx, method, "http://"+c.addresses[int(current)%len(c.addresses)]+path, body)
	if err == nil {
		err = c.do(request, out)
	}
	var rejected *RejectedError
	if err != nil && !errors.As(err, &rejected) && ctx.Err() == nil {
		c.current.CompareAndSwap(current, (current+1)%uint32(len(c.addresses)))
	}
	return err
}

func newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
}

func (c *Client) do(request *http.Request, out any) error {
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode == http.StatusOK {
		return json.Unmarshal(text, out)
	}
	reason := api.ReadError(response, text)
	if response.StatusCode/100 == 5 && response.StatusCode != http.StatusInsufficientStorage {
		return &UnavailableError{request.URL.Host, reason}
	}
	return &RejectedError{response.StatusCode, reason}
}

// CallUntilDecided repeats a call with exponential backoff and jitter until it succeeds, fails with
// *RejectedError, or ctx ends.
func (c *Client) CallUntilDecided(ctx context.Context, method, path string, body, out any) error {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := c.Call(ctx, method, path, body, out)
		var rejected *RejectedError
		if err == nil || errors.As(err, &rejected) {
			return err
		}
		select {
		case <-time.After(backoff/2 + rand.N(backoff)):
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		}
	}
}

func endpointPath(name, verb string) string {
	path := "/catalog/members/" + url.PathEscape(name)
	if verb != "" {
		path += "/" + verb
	}
	return path
}

// instanceBody is the body of a renewal or drain call.
type instanceBody struct {
	Instance string `json:"instance"`
}

// Register registers a server until its lease expires. It repeats the call as CallUntilDecided does.
func (c *Client) Register(ctx context.Context, r state.Record) (out api.Accepted, err error) {
	err = c.CallUntilDecided(ctx, http.MethodPut, endpointPath(r.Name, ""), r, &out)
	return out, err
}

// Renew restarts a server's lease. It calls one member, once.
func (c *Client) Renew(ctx context.Context, ref state.InstanceRef) (out api.Accepted, err error) {
	err = c.Call(ctx, http.MethodPost, endpointPath(ref.Name, "renew"), instanceBody{ref.Instance}, &out)
	return out, err
}

// Drain marks a server as draining, so that it gets no new requests. It repeats the call as CallUntilDecided
// does.
func (c *Client) Drain(ctx context.Context, ref state.InstanceRef) (out api.Accepted, err error) {
	err = c.CallUntilDecided(ctx, http.MethodPost, endpointPath(ref.Name, "drain"), instanceBody{ref.Instance}, &out)
	return out, err
}

// Deregister removes a server from the list. It repeats the call as CallUntilDecided does.
func (c *Client) Deregister(ctx context.Context, ref state.InstanceRef) (out api.Accepted, err error) {
	path := endpointPath(ref.Name, "") + "?instance=" + url.QueryEscape(ref.Instance)
	err = c.CallUntilDecided(ctx, http.MethodDelete, path, nil, &out)
	return out, err
}

// KeepRegistered registers a server and renews its lease until ctx ends; it does not deregister it. If the
// registry no longer knows the server, it registers it again. After each registration it calls the function
// registered, unless that is nil. If the registry rejects the server, it returns the *RejectedError.
func (c *Client) KeepRegistered(ctx context.Context, r state.Record, registered func(api.Accepted)) error {
	lease := time.Duration(r.LeaseMs) * time.Millisecond
	for {
		accepted, err := c.Register(ctx, r)
		if err != nil {
			return err
		}
		if registered != nil {
			registered(accepted)
		}
		if err := c.renewUntilUnknown(ctx, state.InstanceRef{Name: r.Name, Instance: r.Instance}, lease); err != nil {
			return err
		}
	}
}

// renewUntilUnknown renews a lease at intervals with a jitter of up to an eighth. It returns nil when the
// registry no longer knows the server, and an error when the registry rejects it or ctx ends.
func (c *Client) renewUntilUnknown(ctx context.Context, ref state.InstanceRef, lease time.Duration) error {
	wait := lease / renewalsPerLease
	for backoff := initialBackoff; ; {
		select {
		case <-time.After(wait - wait/8 + rand.N(wait/4+1)):
		case <-ctx.Done():
			return ctx.Err()
		}
		_, err := c.Renew(ctx, ref)
		var rejected *RejectedError
		switch {
		case err == nil:
			wait, backoff = lease/renewalsPerLease, initialBackoff
		case errors.As(err, &rejected) && rejected.Code == state.ResultUnknown:
			return nil
		case errors.As(err, &rejected):
			return err
		default:
			wait, backoff = backoff, min(2*backoff, lease/renewalsPerLease)
		}
	}
}
