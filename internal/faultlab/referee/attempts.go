package referee

import (
	"fmt"
	"time"
)

// Arrival is a request as a server receives it.
type Arrival struct {
	Server, ID              string
	FirstByteAt, LastByteAt time.Time
	Method, Path, Key       string
	RequestDigest           uint64 // of the body
}

// BeginAttempt records and checks an attempt that reached a server completely. It returns nil if no client
// sent a request with its id; the server then answers 400.
func (r *Referee) BeginAttempt(arrival Arrival) *Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	clientAttempt := r.clientAttempts[arrival.ID]
	if clientAttempt == nil {
		r.violate(Violation{Rule: "forged", At: arrival.LastByteAt, Server: arrival.Server, Attempt: arrival.ID,
			Text: "no client sent a request with this id"})
		return nil
	}
	attempt := &Attempt{clientAttempt: clientAttempt, Server: arrival.Server, FirstByteAt: arrival.FirstByteAt,
		LastByteAt: arrival.LastByteAt}
	if server := r.servers[arrival.Server]; server != nil {
		attempt.Zone, attempt.Cell = server.zone, server.cell
	}
	if !arrival.matches(clientAttempt) {
		r.violateAttempt("garbled", attempt, arrival.LastByteAt,
			fmt.Sprintf("the nodo received %s %s, which is not the request that the client sent",
				arrival.Method, arrival.Path))
	}
	r.checkRepeat(clientAttempt, attempt)
	r.checkDrain(clientAttempt, attempt)
	late := arrival.FirstByteAt.Sub(clientAttempt.CanceledAt)
	if !clientAttempt.CanceledAt.IsZero() && late > cancelGrace+socketSlack {
		r.violateAttempt("gone", attempt, arrival.FirstByteAt,
			fmt.Sprintf("sent %v after the client closed its connection", late.Round(time.Millisecond)))
	}
	clientAttempt.attempts = append(clientAttempt.attempts, attempt)
	r.attempts = append(r.attempts, attempt)
	return attempt
}

// matches reports whether the request arrived as the client sent it.
func (a *Arrival) matches(sent *ClientAttempt) bool {
	return a.Method == sent.Method && a.Path == sent.Path && a.Key == sent.Key && a.RequestDigest == sent.RequestDigest
}

// violateAttempt records that an attempt breaks a rule.
func (r *Referee) violateAttempt(rule string, attempt *Attempt, at time.Time, text string) {
	r.violate(Violation{Rule: rule, At: at, Proxy: attempt.clientAttempt.Proxy, Server: attempt.Server,
		Attempt: attempt.clientAttempt.ID, Text: text})
}

// checkRepeat checks an attempt against MaxAttempts, HedgingAllowed and the class's RetryClass.
func (r *Referee) checkRepeat(clientAttempt *ClientAttempt, next *Attempt) {
	class := r.config.Classes[clientAttempt.Class]
	violate := func(format string, args ...any) {
		r.violateAttempt("repeat", next, next.LastByteAt, class.Name+": "+fmt.Sprintf(format, args...))
	}
	if len(clientAttempt.attempts) >= r.config.MaxAttempts {
		violate("attempt %d exceeds the limit of %d", len(clientAttempt.attempts)+1, r.config.MaxAttempts)
		return
	}
	for _, attempt := range clientAttempt.attempts {
		if !attempt.ended && !r.config.HedgingAllowed {
			violate("a hedged attempt, which is not allowed, while the one at %s is in flight",
				attempt.Server)
			return
		}
		if class.RetryClass == Idempotent || !attempt.mayHaveExecuted() {
			continue
		}
		elapsed := next.FirstByteAt.Sub(attempt.FirstByteAt)
		switch {
		case class.RetryClass == NonIdempotent:
			violate("sent again though the attempt at %s may have been executed", attempt.Server)
		case class.KeyScope == "zone" && attempt.Zone != next.Zone:
			violate("sent again to zone %s though the attempt in zone %s may have been executed", next.Zone,
				attempt.Zone)
		case class.KeyScope == "cell" && (attempt.Zone != next.Zone || attempt.Cell != next.Cell):
			violate("sent again to another cell though the attempt at %s may have been executed",
				attempt.Server)
		case elapsed > class.KeyWindow+socketSlack:
			violate("sent again %v after an attempt that may have been executed",
				elapsed.Round(time.Millisecond))
		default:
			continue
		}
		return
	}
}

// checkDrain checks that the server is in the proxy's list, or has left it for no longer than DrainGrace, and
// that the proxy polls the list. A change of the list counts as known once the proxy is notified or
// should be.
func (r *Referee) checkDrain(clientAttempt *ClientAttempt, attempt *Attempt) {
	proxy, server := r.proxy(clientAttempt.Proxy), r.servers[attempt.Server]
	sentAt := attempt.FirstByteAt
	violate := func(format string, args ...any) {
		r.violateAttempt("drain", attempt, sentAt, fmt.Sprintf(format, args...))
	}
	now, ok := proxy.notified[attempt.Server]
	if !ok {
		violate("sent to a nodo that was in no list that the proxy received")
		return
	}
	if late := sentAt.Sub(now.receivedAt); !now.serving && late > r.config.DrainGrace+socketSlack {
		violate("sent %v after the proxy was notified that the nodo no longer serves",
			late.Round(time.Millisecond))
		return
	}
	if listing, late, ok := r.overdueChange(clientAttempt.Proxy, server, now.announcedAt, sentAt); ok && !listing.serving {
		violate("sent %v after the proxy had to know that the nodo no longer serves; it was not notified",
			late.Round(time.Millisecond))
		return
	}
	// A proxy that does not poll counts as notified of the list as it was that long ago.
	unpolled := r.config.PollInterval
	if proxy.lastPollFailed {
		unpolled *= failedPollFactor
	}
	if unpolled <= 0 || server == nil || !now.serving || server.serving || proxy.pendingPolls > 0 {
		return
	}
	sincePoll, sinceChange := sentAt.Sub(proxy.lastPollAt), sentAt.Sub(server.changedAt)
	if sincePoll > unpolled+socketSlack && sinceChange > unpolled+r.config.DrainGrace+socketSlack {
		violate("the proxy did not poll the list for %v", sincePoll.Round(time.Millisecond))
	}
}

// RecordServed records that a server answers 200; RecordOutcomeWritten follows once that is written to the proxy.
func (r *Referee) RecordServed(attempt *Attempt, digest uint64, workDone time.Duration) {
	r.end(attempt, stateServed, workDone)
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt.ResponseDigest = digest
}

// RecordError records that a server answered with an error.
func (r *Referee) RecordError(attempt *Attempt, workDone time.Duration) {
	r.end(attempt, stateError, workDone)
}

// RecordRejected records that a server rejected the attempt without executing it.
func (r *Referee) RecordRejected(attempt *Attempt) { r.end(attempt, stateRejected, 0) }

// RecordCanceled records that the attempt's connection closed before the outcome.
func (r *Referee) RecordCanceled(attempt *Attempt, workDone time.Duration) {
	r.end(attempt, stateCanceled, workDone)
}

func (r *Referee) end(attempt *Attempt, state attemptState, workDone time.Duration) {
	if attempt == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt.state, attempt.WorkDone = state, workDone
	if state == stateCanceled {
		attempt.ended = true
	}
}

// RecordOutcomeWritten records that an attempt's outcome is written to the proxy's socket. It must be called before the
// write: the proxy may act on it at once.
func (r *Referee) RecordOutcomeWritten(attempt *Attempt) {
	if attempt == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt.outcomeWritten, attempt.ended = true, true
}
