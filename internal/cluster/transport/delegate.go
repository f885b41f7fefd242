package transport

import (
	"bytes"
	"time"

	"merlinpick/internal/cluster/state"
)

const (
	maxExchangeBytes    = 1 << 20                // size of a full exchange in each direction
	stateRequestTimeout = 250 * time.Millisecond // if the owner is busy, a later exchange makes up for it
)

// delegate implements memberlist.Delegate. Memberlist calls it from goroutines that read the network, so its
// methods never block for long.
type delegate struct{ node *Node }

// NodeMeta returns this member's encoded metadata.
func (d delegate) NodeMeta(limit int) []byte {
	c := &d.node.cfg
	return memberMeta{Version: metaVersion, Zone: c.Zone, Tier: c.Tier, StartedAtMs: c.StartedAtMs}.encode(limit)
}

// NotifyMsg receives a gossip packet. Memberlist may reuse the bytes after the call.
func (d delegate) NotifyMsg(packet []byte) { d.node.receive(packet, false) }

// GetBroadcasts returns the packet to send with the next datagram.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	if packet := d.node.outbound.NextPacket(d.node.cfg.Now(), limit-overhead); packet != nil {
		return [][]byte{packet}
	}
	return nil
}

// LocalState returns all entries for a full exchange, or nil if the owner goroutine is busy for too long.
func (d delegate) LocalState(bool) []byte {
	n := d.node
	timeout := time.NewTimer(stateRequestTimeout)
	defer timeout.Stop()
	result := make(chan []byte, 1)
	encode := func() {
		now := n.cfg.Now()
		result <- encodeExchange(now, n.owner.store.Entries(now))
	}
	select {
	case n.ownerCalls <- encode:
		return <-result
	case <-n.done:
	case <-timeout.C:
	}
	return nil
}

// encodeExchange encodes entries as concatenated packets and omits those beyond maxExchangeBytes.
func encodeExchange(now int64, entries []state.Entry) []byte {
	packets := state.Encode(now, entries, state.MaxPacketBytes)
	size := 0
	for i, packet := range packets {
		if size += len(packet); size > maxExchangeBytes {
			packets = packets[:i]
			break
		}
	}
	return bytes.Join(packets, nil)
}

// MergeRemoteState receives the entries of a full exchange.
func (d delegate) MergeRemoteState(packets []byte, _ bool) { d.node.receive(packets, true) }

// receive passes a message and the time of its arrival to the owner goroutine. It drops the message if too
// many wait.
func (n *Node) receive(payload []byte, fullExchange bool) {
	now := n.cfg.Now()
	switch {
	case len(payload) == 0:
		return
	case len(payload) > maxExchangeBytes:
		n.rejected.add(rejectLength)
		return
	case n.receivedLate(now):
		n.rejected.add(rejectLate)
		return
	}
	select {
	case n.inbound <- message{now, fullExchange, bytes.Clone(payload)}:
	default:
		n.inboundDropped.Add(1)
	}
}

// receivedLate reports whether this process was stopped until just now. Messages that memberlist still holds
// from before then are older than their ages say.
func (n *Node) receivedLate(now int64) bool {
	return now < n.staleUntil.Load() || now-n.lastTick.Load() > maxInputDelay.Microseconds()
}
