package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"merlinpick/internal/registry/api"
	"merlinpick/internal/registry/raftnode"
	"merlinpick/internal/registry/state"
)

const callTimeout = 5 * time.Second

var client = &http.Client{}

// get sends a GET to one member and returns the response's body. A status other than 200 is an error that
// wraps errRejected.
func get(ctx context.Context, timeout time.Duration, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return do(request)
}

// do sends a request and returns the response's body, as get does.
func do(request *http.Request) ([]byte, error) {
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, state.MaxSnapshotBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %w: %s", request.URL.Host, errRejected, api.ReadError(response, text).Error)
	}
	return text, nil
}

// getFromAny calls the members one after another until one responds with 200, and returns its response's
// body.
func (m memberAddresses) getFromAny(ctx context.Context, path string) ([]byte, error) {
	var errs []error
	for _, address := range m.addresses() {
		text, err := get(ctx, callTimeout, "http://"+address+path)
		if err == nil {
			return text, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}

// endpoints returns all endpoints with the remaining time of their leases.
func (m memberAddresses) endpoints(ctx context.Context) (all []raftnode.EndpointStatus, err error) {
	text, err := m.getFromAny(ctx, "/v1/nodos")
	if err == nil {
		err = json.Unmarshal(text, &all)
	}
	return all, err
}
