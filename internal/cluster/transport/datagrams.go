package transport

import (
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/sys/unix"
)

// labelHeaderBytes is the size of memberlist's label header without the label itself.
const labelHeaderBytes = 2

// listenUDP opens a UDP socket on the address of a TCP listener.
func listenUDP(address *net.TCPAddr) (*net.UDPConn, error) {
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: address.IP, Port: address.Port, Zone: address.Zone})
	if err != nil {
		return nil, err
	}
	if err := enableTimestamps(udp); err != nil {
		udp.Close()
		return nil, err
	}
	return udp, nil
}

// enableTimestamps makes the kernel attach its arrival time to each datagram.
func enableTimestamps(conn *net.UDPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	}); err != nil {
		return err
	}
	return optionErr
}

// kernelWait returns how long a datagram waited in the kernel, or 0 if the control messages have no
// timestamp. If the wall clock is set, only datagrams that wait at that moment can be rejected wrongly.
func kernelWait(controlMessages []byte) time.Duration {
	messages, err := syscall.ParseSocketControlMessage(controlMessages)
	if err != nil {
		return 0
	}
	for _, m := range messages {
		if m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SO_TIMESTAMPNS && len(m.Data) >= 16 {
			seconds := int64(binary.NativeEndian.Uint64(m.Data))
			nanoseconds := int64(binary.NativeEndian.Uint64(m.Data[8:]))
			return time.Since(time.Unix(seconds, nanoseconds))
		}
	}
	return 0
}

// readDatagrams passes datagrams to memberlist until the network shuts down.
func (t *network) readDatagrams() {
	buffer := make([]byte, datagramBufferSize)
	control := make([]byte, 64)
	for {
		n, controlBytes, _, from, err := t.udp.ReadMsgUDPAddrPort(buffer, control)
		now := time.Now()
		select {
		case <-t.stop:
			return
		default:
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			t.pause()
			continue
		}
		t.bytesIn.Add(int64(n))
		body, rejected := t.checkDatagram(buffer[:n], control[:controlBytes])
		if rejected != "" {
			t.rejected.add(rejected)
			continue
		}
		if !t.isOwnAddress(from) {
			t.onReceive()
		}
		packet := &memberlist.Packet{Buf: append([]byte(nil), body...), From: net.UDPAddrFromAddrPort(from), Timestamp: now}
		select {
		case t.packets <- packet:
		default:
			t.rejected.add(rejectTooMany)
		}
	}
}

// checkDatagram returns a datagram's content without its label, or the reason why it is rejected.
func (t *network) checkDatagram(datagram, controlMessages []byte) (body []byte, rejected string) {
	body, label, err := memberlist.RemoveLabelHeaderFromPacket(datagram)
	switch {
	case len(datagram) > maxDatagramBytes+len(t.label)+labelHeaderBytes:
		return nil, rejectLength
	case err != nil || label != t.label || len(body) == 0:
		return nil, rejectLabel
	case kernelWait(controlMessages) > maxInputDelay:
		return nil, rejectLate
	}
	return body, ""
}

// isOwnAddress reports whether an address is that of this member, which may be among its seeds.
func (t *network) isOwnAddress(from netip.AddrPort) bool {
	return int(from.Port()) == t.bound.Port && t.bound.IP.Equal(from.Addr().Unmap().AsSlice())
}
