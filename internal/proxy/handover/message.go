package handover

import (
	"fmt"
	"io"

	"merlinpick/internal/discovery"
)

// Kinds of messages on the connection between the two processes, after the state. Each message begins with
// its kind, in one byte.
const (
	kindServing     = 's' // from the successor, without more: it accepts clients
	kindListRequest = 'w' // from the successor, without more: it wants the predecessor's endpoint lists
	kindList        = 'l' // followed by a list, see listSender
	kindExecuted    = 'x' // followed by the hash of a request's ID, see Execution
	kindNotExecuted = 'u' // the same
)

// unexpectedMessageError reports a message of a kind that the process does not know or expect.
type unexpectedMessageError struct{ kind byte }

func (e *unexpectedMessageError) Error() string {
	return fmt.Sprintf("handover: unexpected message of kind %q", e.kind)
}

// Receiver holds the functions that take what the other process tells, on the goroutine of the connection.
type Receiver struct {
	Executed     func(Execution)
	EndpointList func(discovery.HeldList)
}

// receive reads the rest of a message of this kind and passes it on.
func (r Receiver) receive(from io.Reader, kind byte) error {
	switch kind {
	case kindExecuted, kindNotExecuted:
		e, err := readExecution(from, kind)
		if err == nil {
			r.Executed(e)
		}
		return err
	case kindList:
		list, err := readList(from)
		if err == nil && list != nil {
			r.EndpointList(*list)
		}
		return err
	}
	return &unexpectedMessageError{kind}
}
