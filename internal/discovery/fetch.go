package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"merlinpick/internal/failover"
)

const (
	listPath     = "/catalog/members"
	maxListBytes = 4 << 20

	// platformDialTimeout bounds how long the dial of an abandoned call occupies one of the two connections.
	platformDialTimeout = 2 * hedgeDelayMin
)

var (
	errUnavailable    = errors.New("discovery answered 503: it is overloaded or down")
	errConnectionLost = errors.New("connection to discovery lost during a call")
)

// malformedListError means that an answer is not a list in a known format.
type malformedListError struct{ err error }

func (e *malformedListError) Error() string { return "malformed endpoint list: " + e.err.Error() }
func (e *malformedListError) Unwrap() error { return e.err }

// newHTTPClient returns the HTTP client for calls to a source.
func newHTTPClient(source Source) *http.Client {
	if len(source.Members) > 0 {
		return failover.NewHTTPClient()
	}
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: platformDialTimeout}).DialContext}}
}

// fetch makes one call and returns the list in the answer.
func (c *Client) fetch(ctx context.Context, url string, timeout time.Duration) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("fetch endpoint list: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("fetch endpoint list: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable {
		return nil, errUnavailable
	}
	if response.StatusCode != http.StatusOK {
		return nil, &malformedListError{fmt.Errorf("status %s", response.Status)}
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, fmt.Errorf("read endpoint list: %w", err)
	}
	list, err := Parse(data)
	if err != nil {
		return nil, &malformedListError{err}
	}
	return list, nil
}

// fetchOnce makes one call and counts it. It prevents net/http from silently retrying after a reused
// connection was lost: the retry would be a new call that waits in discovery's queue, but with what is left
// of the shorter timeout of a watch.
func (c *Client) fetchOnce(ctx context.Context, url string, timeout time.Duration) (*List, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	connections := 0
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		if connections++; connections > 1 {
			cancel(errConnectionLost)
		}
	}}
	return c.countedCall(ctx, url, func() (*List, error) {
		list, err := c.fetch(httptrace.WithClientTrace(ctx, trace), url, timeout)
		if err != nil && errors.Is(context.Cause(ctx), errConnectionLost) {
			err = errConnectionLost
		}
		return list, err
	})
}
