package run

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/referee"
	"merlinpick/internal/faultlab/sleep"
)

// dialPollInterval is the interval at which the kernel's pending connections are read. A dial that is shorter
// may be missed, and a dial is recorded up to this late.
const dialPollInterval = 25 * time.Millisecond

// recordUnansweredSend records that a proxy sent data to a server, or dialed it, over a link that dropped the
// data.
func (bed *testbed) recordUnansweredSend(ends link.Ends, at time.Time, dial bool) {
	if ends.Kind == "nodo" {
		bed.ref.RecordUnansweredSend(referee.UnansweredSend{SentAt: at, Proxy: ends.From,
			FromZone: ends.FromZone, Server: ends.To, Zone: ends.ToZone, Dial: dial})
	}
}

// watchDials records the dials over links that establish no connections. The lab's listeners do not see these
// dials; only the kernel's table of connections shows them. The table is read while there is such a link.
func (bed *testbed) watchDials(ctx context.Context) {
	seen := map[dial]bool{}
	for sleep.For(ctx, dialPollInterval) {
		blocked := bed.net.Blocked()
		if len(blocked) == 0 {
			continue
		}
		text, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			bed.recordError(err)
			return
		}
		at, pending := time.Now(), map[dial]bool{}
		for _, d := range pendingDials(text) {
			ends, ok := blocked[d.to.String()]
			if !ok {
				continue
			}
			pending[d] = true
			if !seen[d] {
				bed.recordUnansweredSend(ends, at, true)
			}
		}
		seen = pending
	}
}

// dial is a connection that is not established yet.
type dial struct{ from, to netip.AddrPort }

const synSent = "02" // state of a connection in the kernel's table

// pendingDials returns the connections of the kernel's table (proc_net_tcp(5)) that are not established yet.
func pendingDials(table []byte) (out []dial) {
	for lines := bufio.NewScanner(bytes.NewReader(table)); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) < 4 || words[3] != synSent {
			continue
		}
		from, ok := parseHexAddr(words[1])
		to, ok2 := parseHexAddr(words[2])
		if ok && ok2 {
			out = append(out, dial{from, to})
		}
	}
	return out
}

// parseHexAddr parses an address of the table: the IP in the machine's byte order and the port, both in
// hexadecimal.
func parseHexAddr(text string) (netip.AddrPort, bool) {
	ip, port, _ := strings.Cut(text, ":")
	raw, err := hex.DecodeString(ip)
	n, err2 := strconv.ParseUint(port, 16, 16)
	if err != nil || err2 != nil || len(raw) != 4 {
		return netip.AddrPort{}, false
	}
	var b [4]byte
	binary.NativeEndian.PutUint32(b[:], binary.BigEndian.Uint32(raw))
	return netip.AddrPortFrom(netip.AddrFrom4(b), uint16(n)), true
}
