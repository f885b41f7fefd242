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

// The test binary is its own stand-in proxy: `standin FAULT` is a plain proxy that keeps all rules, or all
// but one.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "standin" {
		if err := (&standin{wrong: os.Args[2]}).run(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

type standin struct {
	wrong  string
	list   string
	client http.Client
	mu     sync.Mutex
	nodos  map[string]entry
	spoilt int
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

func (s *standin) run() error {
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
	s.take(config.Known)
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

func (s *standin) take(a catalogAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[string]entry{}
	if !a.Snapshot {
		for name, e := range s.nodos {
			next[name] = e
		}
	}
	for _, e := range a.Endpoints {
		next[e.Name] = e
	}
	s.nodos = next
}

func (s *standin) watch() {
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
			s.take(a)
		}
	}
}

// pick draws a server that serves; cold ones get a quarter of a warm one's part.
func (s *standin) pick() (entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []entry
	for _, e := range s.nodos {
		switch {
		case e.Status == "DRAINING" && s.wrong == "drain":
			all = append(all, e, e, e, e)
		case e.Status != "SERVING":
		case e.Since > 0 && s.wrong == "tip":
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

func (s *standin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/_health" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get(wire.RequestTimeout))
	inTime, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond) // a late answer is a lost request
	defer cancel()
	ask := func(id string) (int, http.Header, []byte) {
		e, ok := s.pick()
		if !ok {
			return 503, nil, nil
		}
		req, _ := http.NewRequestWithContext(inTime, r.Method, "http://"+e.Address+r.URL.RequestURI(), bytes.NewReader(body))
		req.GetBody = nil // the library must not send anything again by itself
		req.Header = r.Header.Clone()
		req.Header.Set(wire.RequestID, id)
		resp, err := s.client.Do(req)
		if err != nil {
			return 502, nil, nil
		}
		defer resp.Body.Close()
		made, err := io.ReadAll(resp.Body)
		if err != nil {
			return 502, nil, nil
		}
		return resp.StatusCode, resp.Header, made
	}
	id := r.Header.Get(wire.RequestID)
	status, head, made := ask(id)
	if status == 503 && head.Get(wire.NotStarted) == "" {
		status = 502
	}
	s.mu.Lock()
	s.spoilt++
	now := s.spoilt%10 == 0 && status == 200
	s.mu.Unlock()
	if now {
		switch s.wrong {
		case "lost":
			<-r.Context().Done()
			return
		case "closes":
			panic(http.ErrAbortHandler)
		case "resends":
			status, _, made = ask(id)
		case "refuses":
			status, made = 503, nil
		case "garbled":
			made = append(made[:len(made)-1], '!')
		case "mixed":
			ask(id[:15] + "x")
			made = []byte("an answer to another request")
		case "twice":
			c, rw, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(err)
			}
			defer c.Close()
			for range 2 {
				fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(made), made)
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
	_, _ = w.Write(made)
}
