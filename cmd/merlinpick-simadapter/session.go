package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"merlinpick/balancer"
)

const (
	readBuffer = 1 << 20 // bytes; longer lines are read in parts
	maxLists   = 16      // the numbers of endpoint lists are 0 to maxLists-1
)

// inputError is the error of a line of input that cannot be processed.
type inputError struct {
	line int // from 1
	err  error
}

func (e *inputError) Error() string { return fmt.Sprintf("line %d: %v", e.line, e.err) }
func (e *inputError) Unwrap() error { return e.err }

// eventError is the error of an event with an invalid field.
type eventError struct {
	event string // its name on the wire
	err   error
}

func (e *eventError) Error() string { return e.event + ": " + e.err.Error() }
func (e *eventError) Unwrap() error { return e.err }

// invalid returns an *eventError with a formatted description.
func invalid(event, format string, args ...any) error {
	return &eventError{event, fmt.Errorf(format, args...)}
}

// instance is the balancer of one simulated proxy, with the host that writes its actions.
type instance struct {
	balancer *balancer.Balancer
	host     *host
}

// session is the state of one run of the adapter: its instances and endpoint lists.
type session struct {
	now       int64 // simulated time of the batch in µs
	inBatch   bool
	instances map[string]*instance // by name
	lists     [maxLists][]balancer.Server
	listSet   [maxLists]bool // whether an event has set the list
	out       *bufio.Writer
	encoder   *json.Encoder // to out
}

// serve processes batches until the input ends. It stops with an *inputError at the first line that it cannot process.
func serve(in io.Reader, out io.Writer) error {
	w := bufio.NewWriterSize(out, readBuffer)
	s := &session{instances: map[string]*instance{}, out: w, encoder: json.NewEncoder(w)}
	s.encoder.SetEscapeHTML(false)
	r := bufio.NewReaderSize(in, readBuffer)
	for lineNumber := 1; ; lineNumber++ {
		line, readErr := readLine(r)
		if len(bytes.TrimSpace(line)) > 0 {
			if err := s.handleLine(line); err != nil {
				return &inputError{lineNumber, err}
			}
		}
		if errors.Is(readErr, io.EOF) {
			if s.inBatch {
				return &inputError{lineNumber, errors.New("the input ends inside a batch")}
			}
			return w.Flush()
		}
		if readErr != nil {
			return &inputError{lineNumber, readErr}
		}
	}
}

// readLine returns the next line, of any length, which is valid until the next call.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	start := bytes.Clone(line)
	rest, err := r.ReadBytes('\n')
	return append(start, rest...), err
}

// handleLine processes one line of input.
func (s *session) handleLine(line []byte) error {
	var e event
	if err := json.Unmarshal(line, &e); err != nil {
		return fmt.Errorf("not an event: %w", err)
	}
	if e.BatchStart == nil && !s.inBatch {
		return errors.New("event outside a batch: a mark has to come first")
	}
	switch {
	case e.BatchStart != nil:
		return s.startBatch(e.BatchStart)
	case e.BatchEnd != nil:
		return s.endBatch()
	case e.EndpointList != nil:
		return s.setList(e.EndpointList)
	case e.NewInstance != nil:
		return s.addInstance(e.NewInstance)
	case e.StopInstance != nil:
		return s.removeInstance(e.StopInstance)
	case e.ListUpdate != nil:
		return s.updateList(e.ListUpdate)
	case e.Request != nil:
		return s.handleRequest(e.Request)
	case e.Outcome != nil:
		return s.handleOutcome(e.Outcome)
	case e.ClientGone != nil:
		return s.handleClientGone(e.ClientGone)
	case e.Timer != nil:
		return s.handleTimer(e.Timer)
	case e.ResponseStarted != nil:
		return s.handleResponseStarted(e.ResponseStarted)
	case e.HealthCheckDone != nil:
		_, err := s.find("probe_done", e.HealthCheckDone.Instance)
		return err
	case e.PeerMessage != nil:
		_, err := s.find("message", e.PeerMessage.Instance)
		return err
	}
	return fmt.Errorf("unknown event: %.80s", bytes.TrimSpace(line))
}

// startBatch starts a batch and sets the time of its events.
func (s *session) startBatch(b *batchStart) error {
	if b.Time == nil {
		return invalid("mark", "time_us is missing")
	}
	s.now, s.inBatch = *b.Time, true
	return nil
}

// endBatch ends a batch: it adds the done action and flushes the actions of the batch.
func (s *session) endBatch() error {
	s.inBatch = false
	if err := s.encoder.Encode(action{Done: &struct{}{}}); err != nil {
		return err
	}
	return s.out.Flush()
}

// find returns the instance that an event names.
func (s *session) find(event string, name *string) (*instance, error) {
	if name == nil {
		return nil, invalid(event, "who is missing")
	}
	found := s.instances[*name]
	if found == nil {
		return nil, invalid(event, "unknown instance %q", *name)
	}
	return found, nil
}
