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

// dialsEvery is how often the kernel is asked which connections wait to come up: a dial that is given up sooner may be
// missed, and one is noted up to this late.
const dialPollInterval = 25 * time.Millisecond

// knock notes what a proxy sent a server into silence.
func (bed *testbed) recordUnansweredSend(ends link.Ends, at time.Time, dial bool) {
	if ends.Kind == "nodo" {
		bed.ref.RecordUnansweredSend(referee.UnansweredSend{SentAt: at, Proxy: ends.From, FromZone: ends.FromZone, Server: ends.To, Zone: ends.ToZone, Dial: dial})
	}
}

// watchDials notes the dials over links on which none comes up. The lab's listener does not see them: the kernel drops
// them, and tells of them only in its table of connections, which is read while there is such a link.
func (bed *testbed) watchDials(ctx context.Context) {
	seen := map[dial]bool{}
	for sleep.For(ctx, dialPollInterval) {
		barred := bed.net.Blocked()
		if len(barred) == 0 {
			continue
		}
		text, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			bed.recordError(err)
			return
		}
		at, now := time.Now(), map[dial]bool{}
		for _, d := range pendingDials(text) {
			ends, ok := barred[d.to.String()]
			if !ok {
				continue
			}
			now[d] = true
			if !seen[d] {
				bed.recordUnansweredSend(ends, at, true)
			}
		}
		seen = now
	}
}

// dial is a connection that waits to come up.
type dial struct{ from, to netip.AddrPort }

const synSent = "02"

// dialsOf reads the kernel's table of connections (proc_net_tcp(5)).
func pendingDials(table []byte) (out []dial) {
	for lines := bufio.NewScanner(bytes.NewReader(table)); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) < 4 || words[3] != synSent {
			continue
		}
		from, ok := hexAddr(words[1])
		to, ok2 := hexAddr(words[2])
		if ok && ok2 {
			out = append(out, dial{from, to})
		}
	}
	return out
}

// hexAddr reads an address as the table has it: the IP a number in the machine's order of bytes, the port a number.
func hexAddr(text string) (netip.AddrPort, bool) {
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
