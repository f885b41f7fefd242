package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"merlinpick/internal/discovery"
)

// Each of the two processes tells the other the endpoint list that it holds, whenever discovery has changed it:
// to clients they are one proxy, and what one of them was told about a server binds both. The predecessor
// begins with the list that it holds when the successor asks for it. A list is sent as its length, in
// listLengthBytes, and its encoding; the length 0 means that the process holds none.

const listLengthBytes = 4

var errListTooLong = errors.New("handover: endpoint list too long")

// listSender sends the endpoint list to the other process whenever it has changed, without blocking the caller
// of notify. Changes that come while a list is being sent are sent as one.
type listSender struct {
	changed chan struct{}
	stop    chan struct{} // closed when nothing more is to be sent
}

func newListSender() *listSender {
	return &listSender{changed: make(chan struct{}, 1), stop: make(chan struct{})}
}

// notify reports that the list has changed.
func (s *listSender) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// run sends the list that current returns after each notify, until stop is closed or a write fails.
func (s *listSender) run(conn io.Writer, current func() *discovery.HeldList) {
	for {
		select {
		case <-s.changed:
			if _, err := conn.Write(encodeList(current())); err != nil {
				return
			}
		case <-s.stop:
			return
		}
	}
}

// encodeList returns the message with a list; nil, or one that is too long to be read, is sent as none.
func encodeList(list *discovery.HeldList) []byte {
	var text []byte
	if list != nil {
		text = list.Encode()
	}
	if len(text) > discovery.MaxHeldListBytes {
		text = nil
	}
	message := make([]byte, 0, 1+listLengthBytes+len(text))
	message = append(message, kindList)
	message = binary.BigEndian.AppendUint32(message, uint32(len(text)))
	return append(message, text...)
}

// readList reads the rest of a message with a list. It returns nil if the other process holds none.
func readList(r io.Reader) (*discovery.HeldList, error) {
	var length [listLengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, fmt.Errorf("handover: read an endpoint list: %w", err)
	}
	n := binary.BigEndian.Uint32(length[:])
	switch {
	case n == 0:
		return nil, nil
	case n > discovery.MaxHeldListBytes:
		return nil, errListTooLong
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(r, text); err != nil {
		return nil, fmt.Errorf("handover: read an endpoint list: %w", err)
	}
	list, err := discovery.ParseHeldList(text)
	if err != nil {
		return nil, fmt.Errorf("handover: read an endpoint list: %w", err)
	}
	return &list, nil
}
