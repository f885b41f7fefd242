package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// trafficInterval is the time between two small requests: a third of 130 a second.
const trafficInterval = 25 * time.Millisecond

// traffic is a stream of small requests of one class. It counts for nothing in a verdict.
type traffic struct {
	address, class string
	client         *http.Client
	stopping       chan struct{}
	requests       sync.WaitGroup
	answers        sync.Map // counts by status
}

func startTraffic(address, class string) *traffic {
	t := &traffic{address: address, class: class, stopping: make(chan struct{}),
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	go func() {
		tick := time.NewTicker(trafficInterval)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-tick.C:
			case <-t.stopping:
				return
			}
			t.requests.Go(func() { t.send(fmt.Sprintf("%016x", 0xbead0000+i)) })
		}
	}()
	return t
}

// send sends one request: a POST of alta-tarifa, a GET of any other class.
func (t *traffic) send(id string) {
	method, body := http.MethodGet, io.Reader(nil)
	if t.class == "alta-tarifa" {
		method, body = http.MethodPost, strings.NewReader("x")
	}
	request, err := http.NewRequest(method, "http://"+t.address+"/"+t.class, body)
	must(err)
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Class", t.class)
	request.Header.Set("Request-Timeout-Ms", "2000")
	status := "none"
	if response, err := t.client.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		status = response.Status
	}
	count, _ := t.answers.LoadOrStore(status, new(atomic.Int64))
	count.(*atomic.Int64).Add(1)
}

// stop ends the stream and waits for the answers of its requests.
func (t *traffic) stop() {
	close(t.stopping)
	t.requests.Wait()
}
