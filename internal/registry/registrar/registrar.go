// Package registrar keeps one nodo in the list: it registers it, renews its lease, and moves to another member of the
// service when one does not answer. Its caller says what is to be; each call may be repeated by it until it is so.
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
	renewalsPerLease = 3 // of a lease passes between two renewals
)

// Client calls the service.
type Client struct {
	addresses []string
	http      *http.Client
	current   atomic.Uint32 // the member that answered last
}

// New is a client of the service at these addresses.
func New(addrs []string) *Client {
	c := &Client{addresses: addrs, http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16,
		IdleConnTimeout: time.Minute, DisableCompression: true}}}
	c.current.Store(rand.Uint32N(uint32(len(addrs))))
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Refused is the service's no: trying the same again does not help.
type RejectedError struct {
	Status int
	api.ErrorBody
}

func (r *RejectedError) Error() string {
	return fmt.Sprintf("the list service: %s (%d)", r.ErrorBody.Error, r.Status)
}

// Call makes one call of one member, and moves on to the next if it does not answer. An error that is no Refused
// leaves open whether it happened.
func (c *Client) Call(ctx context.Context, method, path string, body, out any) error {
	at := c.current.Load()
	err := c.call(ctx, c.addresses[int(at)%len(c.addresses)], method, path, body, out)
	var no *RejectedError
	if err != nil && !errors.As(err, &no) && ctx.Err() == nil {
		c.current.CompareAndSwap(at, (at+1)%uint32(len(c.addresses)))
	}
	return err
}

func (c *Client) call(ctx context.Context, addr, method, path string, body, out any) error {
	var r io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		r = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, r)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusOK {
		return json.Unmarshal(text, out)
	}
	no := &RejectedError{Status: resp.StatusCode, ErrorBody: api.ReadError(resp, text)}
	if resp.StatusCode/100 == 5 && resp.StatusCode != http.StatusInsufficientStorage {
		return fmt.Errorf("%s: %s", addr, no.ErrorBody.Error)
	}
	return no
}

// Until repeats a call until it is answered yes or no.
func (c *Client) CallUntilDecided(ctx context.Context, method, path string, body, out any) error {
	for pause := initialBackoff; ; pause = min(2*pause, maxBackoff) {
		err := c.Call(ctx, method, path, body, out)
		var no *RejectedError
		if err == nil || errors.As(err, &no) {
			return err
		}
		select {
		case <-time.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		}
	}
}

func path(name, verb string) string {
	p := "/catalog/members/" + url.PathEscape(name)
	if verb != "" {
		p += "/" + verb
	}
	return p
}

type instanceBody struct {
	Instance string `json:"instance"`
}

// Register has a nodo in the list, until its lease ends.
func (c *Client) Register(ctx context.Context, r state.Record) (out api.Accepted, err error) {
	err = c.CallUntilDecided(ctx, http.MethodPut, path(r.Name, ""), r, &out)
	return out, err
}

// Renew has its lease last on.
func (c *Client) Renew(ctx context.Context, r state.InstanceRef) (out api.Accepted, err error) {
	err = c.Call(ctx, http.MethodPost, path(r.Name, "renew"), instanceBody{r.Instance}, &out)
	return out, err
}

// Drain has it get nothing new.
func (c *Client) Drain(ctx context.Context, r state.InstanceRef) (out api.Accepted, err error) {
	err = c.CallUntilDecided(ctx, http.MethodPost, path(r.Name, "drain"), instanceBody{r.Instance}, &out)
	return out, err
}

// Deregister takes it out of the list.
func (c *Client) Deregister(ctx context.Context, r state.InstanceRef) (out api.Accepted, err error) {
	err = c.CallUntilDecided(ctx, http.MethodDelete, path(r.Name, "")+"?instance="+url.QueryEscape(r.Instance), nil, &out)
	return out, err
}

// Keep registers a nodo and renews its lease until the context ends; it does not deregister. One that the service does
// not know any more is registered again; one that it refuses is an error.
func (c *Client) KeepRegistered(ctx context.Context, r state.Record, registered func(api.Accepted)) error {
	lease := time.Duration(r.LeaseMs) * time.Millisecond
	for {
		t, err := c.Register(ctx, r)
		if err != nil {
			return err
		}
		if registered != nil {
			registered(t)
		}
		if err := c.renewUntilUnknown(ctx, r, lease); err != nil {
			return err
		}
	}
}

// renewals renews until the service does not know the nodo.
func (c *Client) renewUntilUnknown(ctx context.Context, r state.Record, lease time.Duration) error {
	wait := lease / renewalsPerLease
	for pause := initialBackoff; ; {
		select {
		case <-time.After(wait - wait/8 + rand.N(wait/4+1)):
		case <-ctx.Done():
			return ctx.Err()
		}
		_, err := c.Renew(ctx, state.InstanceRef{Name: r.Name, Instance: r.Instance})
		var no *RejectedError
		switch {
		case err == nil:
			wait, pause = lease/renewalsPerLease, initialBackoff
		case errors.As(err, &no) && no.Code == state.ResultUnknown:
			return nil
		case errors.As(err, &no):
			return err
		default:
			wait, pause = pause, min(2*pause, lease/renewalsPerLease)
		}
	}
}
