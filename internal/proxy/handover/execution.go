package handover

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
)

// Once the successor serves, both processes accept clients, and each tells the other which requests it may have
// executed that must not be executed twice. An update takes executionBytes on the connection between them.

// Execution is an update on one request, by the hash of its ID.
type Execution struct {
	ID       uint64
	Executed bool // the request may have been executed; false: it has turned out that it was not
}

const (
	executionBytes = 1 + 8 // its kind, and the hash

	// maxPendingExecutions is how many updates wait for the connection at most; further ones are dropped.
	maxPendingExecutions = 4096
)

// encode returns the update as it is sent.
func (e Execution) encode() []byte {
	message := make([]byte, executionBytes)
	message[0] = kindNotExecuted
	if e.Executed {
		message[0] = kindExecuted
	}
	binary.BigEndian.PutUint64(message[1:], e.ID)
	return message
}

// readExecution reads the rest of an update of this kind.
func readExecution(r io.Reader, kind byte) (Execution, error) {
	var id [executionBytes - 1]byte
	if _, err := io.ReadFull(r, id[:]); err != nil {
		return Execution{}, fmt.Errorf("handover: read an update: %w", err)
	}
	return Execution{ID: binary.BigEndian.Uint64(id[:]), Executed: kind == kindExecuted}, nil
}

// executionSender sends updates to the other process in the order of add, without blocking its caller.
type executionSender struct {
	pending chan Execution
	stop    chan struct{} // closed when nothing more is to be sent
}

func newExecutionSender() *executionSender {
	return &executionSender{pending: make(chan Execution, maxPendingExecutions), stop: make(chan struct{})}
}

// add queues an update, or drops it if too many are pending.
func (s *executionSender) add(e Execution) {
	select {
	case s.pending <- e:
	default:
	}
}

// run writes that the requests with these IDs may have been executed, then the pending updates, until stop is
// closed or a write fails.
func (s *executionSender) run(conn net.Conn, executed []uint64) {
	var all []byte
	for _, id := range executed {
		all = append(all, Execution{ID: id, Executed: true}.encode()...)
	}
	if _, err := conn.Write(all); err != nil {
		return
	}
	for {
		select {
		case e := <-s.pending:
			if _, err := conn.Write(e.encode()); err != nil {
				return
			}
		case <-s.stop:
			return
		}
	}
}
