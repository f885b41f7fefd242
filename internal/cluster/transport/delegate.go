package transport

import (
	"bytes"
	"time"

	"merlinpick/internal/cluster/state"
)

// delegate is what memberlist calls to carry entries. It calls from goroutines of its own, some of them the ones that
// read the network, so nothing here waits for long.
type delegate struct{ l *Node }

func (d delegate) NodeMeta(limit int) []byte {
	c := &d.l.cfg
	return memberMeta{Version: metaVersion, Zone: c.Zone, Tier: c.Tier, StartedAtMs: c.StartedAtMs}.encode(limit)
}

// NotifyMsg takes one packet of entries. The bytes are memberlist's.
func (d delegate) NotifyMsg(b []byte) { d.l.come(b, false) }

// GetBroadcasts gives what is to go out with the next datagram.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	if p := d.l.outbound.NextPacket(d.l.cfg.Now(), limit-overhead); p != nil {
		return [][]byte{p}
	}
	return nil
}

// LocalState gives all that the view holds, or nothing if the owner has no time: a later exchange makes up for it.
func (d delegate) LocalState(bool) []byte {
	l := d.l
	late := time.NewTimer(askWait)
	defer late.Stop()
	said := make(chan []byte, 1)
	ask := func() {
		now := l.cfg.Now()
		said <- pushPullState(now, l.own.view.Entries(now))
	}
	select {
	case l.ownerCalls <- ask:
		return <-said
	case <-l.done:
	case <-late.C:
	}
	return nil
}

// state lays packets end to end, up to stateMost bytes of them.
func pushPullState(now int64, entries []state.Entry) []byte {
	packets := state.Encode(now, entries, state.MaxPacketBytes)
	size := 0
	for i, p := range packets {
		if size += len(p); size > maxExchangeBytes {
			packets = packets[:i]
			break
		}
	}
	return bytes.Join(packets, nil)
}

func (d delegate) MergeRemoteState(b []byte, _ bool) { d.l.come(b, true) }

// come hands what came to the owner, with the time at which it did.
func (n *Node) come(b []byte, state bool) {
	now := n.cfg.Now()
	switch {
	case len(b) == 0:
		return
	case len(b) > maxExchangeBytes:
		n.rejected.add(rejectLength)
		return
	case n.stalled(now):
		n.rejected.add(rejectLate)
		return
	}
	select {
	case n.inbound <- incoming{now, state, bytes.Clone(b)}:
	default:
		n.inboundDropped.Add(1)
	}
}

// stalled tells whether this process is only just awake after a stop: what memberlist still holds from before it is
// older than its ages say.
func (n *Node) stalled(now int64) bool {
	return now < n.staleUntil.Load() || now-n.lastTick.Load() > maxKernelWait.Microseconds()
}
