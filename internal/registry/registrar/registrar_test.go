package registrar

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"merlinpick/internal/registry/api"
	"merlinpick/internal/registry/state"
)

// startMember serves a member's API with a handler, and returns its address.
func startMember(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(handle)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

var record = state.Record{Endpoint: state.Endpoint{Name: "n"}, Instance: "i", LeaseMs: 100}

func TestAnswersAreTyped(t *testing.T) {
	for name, c := range map[string]struct {
		status   int
		body     string
		rejected bool
		code     state.ResultCode
	}{
		"unknown":       {http.StatusNotFound, `{"error":"n is not in the list","end":"unknown"}`, true, state.ResultUnknown},
		"list is full":  {http.StatusInsufficientStorage, `{"error":"no room","end":"full"}`, true, state.ResultFull},
		"unavailable":   {http.StatusServiceUnavailable, `{"error":"no leader is known"}`, false, ""},
		"not by a peer": {http.StatusBadGateway, `<html>`, false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			address := startMember(t, answer(c.status, c.body))
			client := New([]string{address})
			defer client.Close()
			_, err := client.Renew(t.Context(), state.InstanceRef{Name: "n", Instance: "i"})
			var rejected *RejectedError
			var unavailable *UnavailableError
			switch isRejected := errors.As(err, &rejected); {
			case isRejected != c.rejected:
				t.Errorf("unexpected kind of error: %v", err)
			case isRejected && (rejected.Code != c.code || rejected.Status != c.status):
				t.Errorf("rejection has another status or code than the response: %+v", rejected)
			case !isRejected && (!errors.As(err, &unavailable) || unavailable.Address != address):
				t.Errorf("want an *UnavailableError with the member's address, got %v", err)
			}
		})
	}
}

// A call moves on to the next member if one cannot serve it, and is not repeated after it was rejected.
func TestCallUntilDecided(t *testing.T) {
	var calls atomic.Int32
	down := startMember(t, answer(http.StatusServiceUnavailable, `{"error":"this member does not lead"}`))
	up := startMember(t, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		answer(http.StatusOK, `{"index":7,"status":"SERVING","lease_ms":100}`)(w, nil)
	})
	client := New([]string{down, up})
	defer client.Close()
	if accepted, err := client.Register(t.Context(), record); err != nil || accepted != (api.Accepted{Version: 7, Status: "SERVING", LeaseMs: 100}) {
		t.Errorf("got %+v, %v", accepted, err)
	}
	if calls.Load() != 1 {
		t.Errorf("%d calls to the available member, want 1", calls.Load())
	}

	calls.Store(0)
	misconfigured := New([]string{"no address", up})
	defer misconfigured.Close()
	if _, err := misconfigured.Register(t.Context(), record); err != nil || calls.Load() != 1 {
		t.Errorf("with an invalid address for another member: %v after %d calls", err, calls.Load())
	}

	calls.Store(0)
	rejects := startMember(t, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		answer(http.StatusConflict, `{"error":"n belongs to another instance, started later","end":"replaced"}`)(w, nil)
	})
	var rejected *RejectedError
	if _, err := New([]string{rejects}).Register(t.Context(), record); !errors.As(err, &rejected) || rejected.Code != state.ResultReplaced || calls.Load() != 1 {
		t.Errorf("got %v after %d calls", err, calls.Load())
	}

	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	var unavailable *UnavailableError
	if _, err := New([]string{down}).Register(ctx, record); !errors.Is(err, context.DeadlineExceeded) || !errors.As(err, &unavailable) {
		t.Errorf("got %v, want an error that wraps the deadline and the last *UnavailableError", err)
	}
}

// A server that the registry no longer knows is registered again; one that it rejects ends KeepRegistered.
func TestKeepRegistered(t *testing.T) {
	var registrations, renewals atomic.Int32
	address := startMember(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPut:
			registrations.Add(1)
			answer(http.StatusOK, `{"index":7,"status":"SERVING","lease_ms":100}`)(w, r)
		case renewals.Add(1) == 2:
			answer(http.StatusNotFound, `{"error":"n is not in the list: register it","end":"unknown"}`)(w, r)
		case renewals.Load() == 4:
			answer(http.StatusGone, `{"error":"n was deregistered under that instance","end":"ended"}`)(w, r)
		default:
			answer(http.StatusOK, `{"index":7,"status":"SERVING","lease_ms":100}`)(w, r)
		}
	})
	client := New([]string{address})
	defer client.Close()
	notified := 0
	var rejected *RejectedError
	err := client.KeepRegistered(t.Context(), record, func(api.Accepted) { notified++ })
	if !errors.As(err, &rejected) || rejected.Code != state.ResultEnded || registrations.Load() != 2 || notified != 2 || renewals.Load() != 4 {
		t.Errorf("%v after %d registrations, %d notifications, %d renewals", err, registrations.Load(), notified, renewals.Load())
	}
}
