package costly

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"merlinpick/internal/faultlab/path"
)

const (
	dueAfter = 2 * time.Second // from the last byte of a sound request until its client gives up
	// patience is how long clients of the lab wait after that, to tell a late answer from none.
	patience      = 2 * time.Second
	soundInterval = 25 * time.Millisecond
)

// Outcomes counts sound requests by how they ended.
type Outcomes struct {
	Sent       int
	Served     int           // with 200, by the due time
	Refused    int           // with 429 or 503, by the due time
	Failed     int           // any other answer, a close or no connection, by the due time
	Late       int           // answered or closed after the due time
	Unanswered int           // neither in dueAfter and patience
	Slowest    time.Duration // among all that ended
}

// String returns all counts on a line.
func (o Outcomes) String() string {
	return fmt.Sprintf("%d of %d served, %d refused, %d failed, %d ended after their due time, %d without end, slowest %v",
		o.Served, o.Sent, o.Refused, o.Failed, o.Late, o.Unanswered, o.Slowest.Round(time.Millisecond))
}

// soundClients send sound requests, each on a connection of its own.
type soundClients struct {
	address string

	mu       sync.Mutex
	outcomes Outcomes
}

// run sends a request every soundInterval until the context ends, and returns when all have ended.
func (s *soundClients) run(ctx context.Context) Outcomes {
	var requests sync.WaitGroup
	ticker := time.NewTicker(soundInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		requests.Go(s.sendOne)
		<-ticker.C
	}
	requests.Wait()
	return s.outcomes
}

// sendOne sends a request and counts how it ended.
func (s *soundClients) sendOne() {
	connectedBy := time.Now().Add(dueAfter)
	status, took, err := s.call(connectedBy)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := &s.outcomes
	o.Sent++
	o.Slowest = max(o.Slowest, took)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && took >= dueAfter:
		o.Unanswered++
	case took > dueAfter:
		o.Late++
	case err != nil:
		o.Failed++
	case status == http.StatusOK:
		o.Served++
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		o.Refused++
	default:
		o.Failed++
	}
}

// kernelResolution is the longest period of the clock by which a kernel notes when bytes are sent and arrive.
const kernelResolution = 10 * time.Millisecond

// sinceSent returns how long after the last byte that was sent on a connection the last one arrived, both by the kernel's
// notes and at most kernelResolution too long. The process of the lab may be held up between its own looks at the clock.
func sinceSent(c net.Conn) (took time.Duration, known bool) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	if controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); controlErr != nil || err != nil {
		return 0, false
	}
	sinceLastSent := time.Duration(info.Last_data_sent) * time.Millisecond
	sinceLastArrival := time.Duration(info.Last_data_recv) * time.Millisecond
	return sinceLastSent - sinceLastArrival + kernelResolution, true
}

// call makes one request and returns how long after its last byte it ended.
func (s *soundClients) call(connectedBy time.Time) (status int, took time.Duration, err error) {
	c, err := (&net.Dialer{Deadline: connectedBy}).Dial("tcp", s.address)
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	sent := time.Now()
	if _, err := io.WriteString(c, request("GET", path.ReadClass, soundTimeout, "", 0)); err != nil {
		return 0, time.Since(sent), err
	}
	_ = c.SetReadDeadline(sent.Add(dueAfter + patience))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, time.Since(sent), err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	took = time.Since(sent)
	if byKernel, known := sinceSent(c); known && err == nil {
		took = min(took, byKernel)
	}
	return response.StatusCode, took, err
}
