package run

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"merlinpick/internal/faultlab/wire"
)

// TestMain runs the tests or, with the arguments `fake-proxy MISBEHAVIOR`, a simple proxy that breaks one
// rule and keeps all others, or keeps all rules.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "fake-proxy" {
		if err := (&fakeProxy{misbehavior: os.Args[2]}).run(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// fakeProxy is a simple proxy that can misbehave in one way.
type fakeProxy struct {
	misbehavior string // the way in which it misbehaves, or "nothing"
	list        string // address
	client      http.Client
	mu          sync.Mutex
	servers     map[string]entry
	responses   int // number so far; every tenth one is spoiled if it is a success
}

type entry struct {
	Name, Address, Status string
	Since                 int64 `json:"since_ms"`
}

type catalogAnswer struct {
	Index     int64
	Snapshot  bool
	Endpoints []entry
}

func (s *fakeProxy) run() error {
	text, err := os.ReadFile(os.Getenv("LB_CONFIG"))
	if err != nil {
		return err
	}
	var config struct {
		Listen, Mgmt, Discovery string
		Known                   catalogAnswer
	}
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	s.list = config.Discovery
	s.client = http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second}}
	s.applyAnswer(config.Known)
	go s.watch()
	go func() {
		_ = http.ListenAndServe(config.Mgmt, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	}()
	l, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return err
	}
	return http.Serve(l, s)
}

// applyAnswer updates the servers with an answer of the catalog.
func (s *fakeProxy) applyAnswer(a catalogAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[string]entry{}
	if !a.Snapshot {
		for name, e := range s.servers {
			next[name] = e
		}
	}
	for _, e := range a.Endpoints {
		next[e.Name] = e
	}
	s.servers = next
}

// watch follows the changes of the list.
func (s *fakeProxy) watch() {
	for from := int64(-1); ; {
		url := "http://" + s.list + "/catalog/members"
		if from >= 0 {
			url += "?hold_ms=5000&from=" + strconv.FormatInt(from, 10)
		}
		resp, err := s.client.Get(url)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		var a catalogAnswer
		err = json.NewDecoder(resp.Body).Decode(&a)
		resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			from = a.Index
			s.applyAnswer(a)
		}
	}
}

// pick draws a server that is serving. One in slow start is drawn a quarter as often as another.
func (s *fakeProxy) pick() (entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []entry
	for _, e := range s.servers {
		switch {
		case e.Status == "DRAINING" && s.misbehavior == "drain":
			all = append(all, e, e, e, e)
		case e.Status != "SERVING":
		case e.Since > 0 && s.misbehavior == "tip":
			return e, true
		case e.Since > 0:
			all = append(all, e)
		default:
			all = append(all, e, e, e, e)
		}
	}
	if len(all) == 0 {
		return entry{}, false
	}
	return all[rand.IntN(len(all))], true
}

func (s *fakeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/_health" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get(wire.RequestTimeout))
	// A response after the deadline counts as a lost request.
	deadlineCtx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	forward := func(id string) (int, http.Header, []byte) {
		e, ok := s.pick()
		if !ok {
			return 503, nil, nil
		}
		req, _ := http.NewRequestWithContext(deadlineCtx, r.Method, "http://"+e.Address+r.URL.RequestURI(),
			bytes.NewReader(body))
		req.GetBody = nil // keeps the HTTP client from sending a request again
		req.Header = r.Header.Clone()
		req.Header.Set(wire.RequestID, id)
		resp, err := s.client.Do(req)
		if err != nil {
			return 502, nil, nil
		}
		defer resp.Body.Close()
		responseBody, err := io.ReadAll(resp.Body)
		if err != nil {
			return 502, nil, nil
		}
		return resp.StatusCode, resp.Header, responseBody
	}
	id := r.Header.Get(wire.RequestID)
	status, header, responseBody := forward(id)
	if status == 503 && header.Get(wire.NotStarted) == "" {
		status = 502
	}
	s.mu.Lock()
	s.responses++
	misbehaves := s.responses%10 == 0 && status == 200
	s.mu.Unlock()
	if misbehaves {
		switch s.misbehavior {
		case "lost":
			<-r.Context().Done()
			return
		case "closes":
			panic(http.ErrAbortHandler)
		case "resends":
			status, _, responseBody = forward(id)
		case "refuses":
			status, responseBody = 503, nil
		case "garbled":
			responseBody = append(responseBody[:len(responseBody)-1], '!')
		case "mixed":
			forward(id[:15] + "x")
			responseBody = []byte("an answer to another request")
		case "twice":
			c, rw, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(err)
			}
			defer c.Close()
			for range 2 {
				fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(responseBody),
					responseBody)
			}
			_ = rw.Flush()
			time.Sleep(300 * time.Millisecond)
			return
		}
	}
	if status == 504 || status == 500 {
		status = 502
	}
	w.WriteHeader(status)
	_, _ = w.Write(responseBody)
}
