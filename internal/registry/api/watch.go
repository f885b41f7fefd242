package api

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"merlinpick/internal/registry/raftnode"
)

const maxLongPoll = 60 * time.Second

// Errors of watches, which get 503.
var (
	errStopping          = errors.New("this member ends")
	errVersionNotReached = errors.New("this member has not come up to that version yet")
)

// tooManyWatchesError reports a watch that exceeds Config.MaxWatches.
type tooManyWatchesError struct{ inFlight int64 }

func (e *tooManyWatchesError) Error() string {
	return fmt.Sprintf("%d watches are held, as many as there may be", e.inFlight)
}

// watchRequest holds the parameters of a watch.
type watchRequest struct {
	from  int64     // the version that the client has
	epoch string    // epoch of from; empty: the client does not know it
	until time.Time // when the watch ends without a newer version
}

// startWatch reads a watch's query and counts the watch as in flight until release is called. If the watch is
// rejected, it has sent the response and returns false.
func (s *Server) startWatch(w http.ResponseWriter, r *http.Request) (request watchRequest, release func(), ok bool) {
	if request.from, ok = queryNumber(w, r, "from", "a version is"); !ok {
		return request, nil, false
	}
	holdMs, ok := queryNumber(w, r, "hold_ms", "milliseconds are")
	if !ok {
		return request, nil, false
	}
	if n := s.watchesInFlight.Add(1); n > int64(s.cfg.MaxWatches) {
		s.watchesInFlight.Add(-1)
		s.rejectRetryable(w, &tooManyWatchesError{n - 1})
		return request, nil, false
	}
	request.epoch = r.URL.Query().Get("line")
	request.until = time.Now().Add(time.Duration(min(holdMs, maxLongPoll.Milliseconds())) * time.Millisecond)
	return request, func() { s.watchesInFlight.Add(-1) }, true
}

// watchEvent is the reason why a watch ends.
type watchEvent int

const (
	watchAnswered  watchEvent = iota // the response 503 was sent, or the client is gone
	watchReset                       // the client's version is of another epoch or was lost: it starts over
	watchNewer                       // there is a newer version
	watchUnchanged                   // the watch has timed out without a newer version
)

// awaitEvent waits until a watch ends. The function current returns this member's epoch and version of what is
// watched.
//
// If this member has not reached the client's version, either the client got it from a member that is ahead,
// or it is of a lost epoch. The client's epoch tells which. If the client names no epoch, awaitEvent waits
// until this member's list was confirmed up to date after the call began.
func (s *Server) awaitEvent(w http.ResponseWriter, r *http.Request, node *raftnode.Node, request watchRequest,
	current func() (epoch string, version int64)) watchEvent {
	timer := time.NewTimer(time.Until(request.until))
	defer timer.Stop()
	timedOut := false
	for {
		changed := node.Watches().Changed()
		if !node.Serving() {
			s.rejectRetryable(w, raftnode.ErrStale)
			return watchAnswered
		}
		epoch, version := current()
		switch {
		case request.epoch != "" && request.epoch != epoch:
			return watchReset
		case request.from < version:
			return watchNewer
		case request.from > version && request.epoch == "":
			if err := node.WaitLinearizable(r.Context()); err != nil {
				s.rejectRetryable(w, err)
				return watchAnswered
			}
			if _, version = current(); request.from > version {
				return watchReset
			}
			continue
		case timedOut && request.from == version:
			return watchUnchanged
		case timedOut:
			s.rejectRetryable(w, errVersionNotReached)
			return watchAnswered
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-s.stopping:
			s.rejectRetryable(w, errStopping)
			return watchAnswered
		case <-r.Context().Done():
			return watchAnswered
		}
	}
}
