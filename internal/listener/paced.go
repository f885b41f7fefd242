package listener

import (
	"net"
	"sync"
	"time"
)

// Paced is a net.Listener that accepts connections at a limited rate, so that callers who connect at full speed cannot
// take the processor. Further ones wait in the kernel.
type Paced struct {
	net.Listener
	interval time.Duration // between two connections, once burst is used up
	burst    int           // connections that are accepted at once after a pause

	mu   sync.Mutex
	next time.Time // when the next connection would be due without a burst
}

// Pace returns a Paced that wraps l.
func Pace(l net.Listener, perSecond, burst int) *Paced {
	return &Paced{Listener: l, interval: time.Second / time.Duration(perSecond), burst: burst}
}

// Accept returns the next connection, once the rate allows it.
func (p *Paced) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	if err == nil {
		time.Sleep(p.delay(time.Now()))
	}
	return c, err
}

// delay counts a connection that is accepted at a time, and returns how long it has to wait.
func (p *Paced) delay(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next.Before(now) {
		p.next = now
	}
	wait := p.next.Sub(now) - time.Duration(p.burst)*p.interval
	p.next = p.next.Add(p.interval)
	return wait
}
