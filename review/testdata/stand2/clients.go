package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// newID returns 16 or more hexadecimal digits.
func newID(bytes int) string {
	id := make([]byte, bytes)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// outcome is what a client saw of one request.
type outcome struct {
	id      string
	class   string
	sentAt  time.Time
	took    time.Duration
	status  int // 0: no answer
	body    string
	failure string
}

// clients send requests through the front layer, which gives each connection to one of the proxies.
type clients struct {
	lab      *lab
	mu       sync.Mutex
	outcomes []outcome
	http     *http.Client
	group    sync.WaitGroup
}

func (l *lab) newClients() *clients {
	return &clients{lab: l, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// send sends one request and waits for its answer, half a second longer than its time.
func (c *clients) send(address, className string, class class, size int) outcome {
	id := newID(8)
	ctx, cancel := context.WithTimeout(context.Background(), class.giveUp+600*time.Millisecond)
	defer cancel()
	method, payload := http.MethodPost, bytes.Repeat([]byte("x"), size)
	if class.repeat == "idempotent" {
		method, payload = http.MethodGet, nil
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+className, bytes.NewReader(payload))
	must(err)
	request.Host = "backend.local"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Class", className)
	request.Header.Set("Request-Timeout-Ms", strconv.FormatInt(class.giveUp.Milliseconds(), 10))
	if class.repeat == "deduplicated" {
		request.Header.Set("Idempotency-Key", newID(16))
	}
	o := outcome{id: id, class: className, sentAt: time.Now()}
	response, err := c.http.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
		o.status, o.body = response.StatusCode, string(body)
	}
	o.took = time.Since(o.sentAt)
	if err != nil {
		o.status, o.failure = 0, err.Error()
	}
	c.mu.Lock()
	c.outcomes = append(c.outcomes, o)
	c.mu.Unlock()
	return o
}

// load sends requests at a rate to the address that target returns, until the context ends.
func (c *clients) load(ctx context.Context, rate float64, target func() string, classes []class, size int) {
	interval := time.Duration(float64(time.Second) / rate)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-tick.C:
		case <-ctx.Done():
			c.group.Wait()
			return
		}
		class := classes[i%len(classes)]
		address := target()
		c.group.Go(func() { c.send(address, class.name, class, size) })
	}
}

// summary returns how many requests ended with each status.
func (c *clients) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[int]int{}
	for _, o := range c.outcomes {
		counts[o.status]++
	}
	return fmt.Sprintf("%d requests, by status %v", len(c.outcomes), counts)
}
