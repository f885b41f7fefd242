package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	listedNodos = 3200             // the largest fleet of STANDING
	rounds      = 6                // until the rule is broken, or the time is over
	roundsEnd   = 75 * time.Second // no further round begins after it
)

// member is one member of a registry of three.
type member struct {
	name, api, raft, dir, config string
	process                      *process
}

// writeMembers chooses the addresses of three members and writes their configurations.
func writeMembers(dir string) []*member {
	var members []*member
	var list []string
	for _, name := range []string{"r1", "r2", "r3"} {
		m := &member{name: name, api: freeAddress(), raft: freeAddress(), dir: filepath.Join(dir, name), config: filepath.Join(dir, name+".toml")}
		members = append(members, m)
		list = append(list, fmt.Sprintf("  {name = %q, raft = %q, list = %q},\n", m.name, m.raft, m.api))
	}
	for _, m := range members {
		must(os.WriteFile(m.config, fmt.Appendf(nil, "name = %q\ndir = %q\nlisten = %q\nfigures = \"\"\nmember = [\n%s]\n",
			m.name, m.dir, m.api, strings.Join(list, "")), 0o600))
	}
	return members
}

func (m *member) start(dir string) {
	m.process = start("exec bin/merlinpick-registry serve --config "+m.config, filepath.Join(dir, fmt.Sprintf("%s-%d.log", m.name, len(processes))))
}

var registryClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

// call makes one call to a member.
func (m *member) call(method, path string, body any) (status int, text []byte) {
	var in io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		must(err)
		in = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+m.api+path, in)
	must(err)
	response, err := registryClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// register registers a nodo, with repeated calls until one is answered 200.
func register(m *member, name string) {
	body := map[string]any{"address": "127.0.0.1:9", "zone": "monterrey", "type": "entrada-medio", "group": 0, "weight": 1.0,
		"since_ms": 1, "instance": "i-" + name, "lease_ms": 600000}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _ := m.call(http.MethodPut, "/catalog/members/"+name, body); status == http.StatusOK {
			return
		}
	}
	void("nodo %s could not be registered at %s", name, m.name)
}

// names returns the names of the list by a linearizable read, from any of the members.
func names(members []*member) map[string]bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, m := range members {
			status, text := m.call(http.MethodGet, "/catalog/members?consistent=1", nil)
			if status != http.StatusOK {
				continue
			}
			var out list
			must(json.Unmarshal(text, &out))
			listed := map[string]bool{}
			for _, e := range out.Endpoints {
				listed[e.Name] = true
			}
			return listed
		}
	}
	void("no member serves the list")
	return nil
}

func lostDirectory(dir string, rec *record) (broken []string) {
	members := writeMembers(dir)
	r1, r2, r3 := members[0], members[1], members[2]
	for _, m := range members {
		m.start(dir)
	}
	names(members)
	var callers sync.WaitGroup
	work := make(chan int)
	for range 32 {
		callers.Go(func() {
			for i := range work {
				register(r1, fmt.Sprintf("s-%04d", i))
			}
		})
	}
	for i := range listedNodos {
		work <- i
	}
	close(work)
	callers.Wait()
	rec.add("%d nodos are registered", listedNodos)
	for round := 1; round <= rounds && time.Since(began) < roundsEnd && len(broken) == 0; round++ {
		r2.process.kill()
		rec.add("round %d: r2 is down", round)
		name := fmt.Sprintf("new-%d", round)
		register(r1, name)
		rec.add("round %d: the registration of %s was answered 200", round, name)
		r1.process.kill()
		r3.process.kill()
		rec.add("round %d: r1 and r3 are killed", round)
		if trouble {
			must(os.Rename(r3.dir, fmt.Sprintf("%s.gone-%d", r3.dir, round)))
			rec.add("round %d: the directory of r3 is gone; those of r1 and r2 are intact", round)
		}
		r3.start(dir)
		time.Sleep(time.Second)
		r1.start(dir)
		r2.start(dir)
		rec.add("round %d: all three are started", round)
		listed := names(members)
		rec.add("round %d: the list has %d nodos; %s is in it: %v", round, len(listed), name, listed[name])
		if !listed[name] {
			broken = append(broken, fmt.Sprintf("lost: the registration of %s was answered 200, and the directories of r1 and r2 "+
				"are intact, but a linearizable read does not have it", name))
		}
		text, _ := os.ReadFile(r3.process.log.Name())
		rec.add("round %d: r3's log tells that it abstains: %v", round, bytes.Contains(text, []byte("abstaining from elections")))
	}
	return broken
}
