// Command stand2 plays one case of the second review: it starts the project's own programs as separate
// processes and stands in for discovery, nodos, clients and the network between them.
//
//	stand2 CASE FOLDER
//
// It is run from the root of the repository. It writes record.txt into the case's folder, and exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment it
// does the same without the disruption.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// caseLimit ends a case that hangs; the letter allows 120 s.
const caseLimit = 115 * time.Second

// longestTemp is how long the path of the folder for temporary files may be: the path of a Unix socket in it has
// 107 bytes at most.
const longestTemp = 40

// cases holds the function of each case, by name. It returns whether the rule held.
var cases = map[string]func(*lab) bool{}

// lab is one run of a case.
type lab struct {
	tmp     string // temporary folder, removed at the end
	trouble bool   // whether the disruption happens
	start   time.Time

	mu     sync.Mutex
	record *bufio.Writer
	procs  []*process
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run plays a case and returns the exit status.
func run(play func(*lab) bool, folder string) (status int) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	base := os.TempDir()
	if len(base) > longestTemp {
		base = "/tmp"
	}
	tmp, err := os.MkdirTemp(base, "s2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	l := &lab{tmp: tmp, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: bufio.NewWriter(file)}
	defer func() {
		l.endProcesses()
		l.mu.Lock()
		_ = l.record.Flush()
		l.mu.Unlock()
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(tmp)
		}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() {
		defer func() {
			if failure := recover(); failure != nil {
				broken, ok := failure.(cannotRun)
				if !ok {
					panic(failure)
				}
				l.log("the case could not run: %v", broken.err)
				result <- 2
			}
		}()
		if play(l) {
			l.log("the rule held")
			result <- 0
		} else {
			l.log("the rule was broken")
			result <- 1
		}
	}()
	select {
	case status = <-result:
	case <-interrupted:
		l.log("interrupted")
		status = 2
	case <-time.After(caseLimit):
		l.log("the case took longer than %v", caseLimit)
		status = 2
	}
	return status
}

// cannotRun is the panic by which a case ends that could not run.
type cannotRun struct{ err error }

// must ends the case as one that could not run if there is an error.
func must(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

// require ends the case as one that could not run unless a precondition holds.
func require(holds bool, format string, args ...any) {
	if !holds {
		panic(cannotRun{fmt.Errorf(format, args...)})
	}
}

// log writes a line with the time since the start to record.txt.
func (l *lab) log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = l.record.WriteString(line)
	if os.Getenv("VERBOSE") != "" {
		_, _ = os.Stderr.WriteString(line)
	}
}

// Ports below those that a system gives to outgoing connections, which would else take an address between its choice
// and its use.
const firstPort, lastPort = 15_000, 32_000

// freeAddress returns an address on loopback that is not in use, and that it has not returned before.
func (p *ports) freeAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range lastPort - firstPort {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if p.given[port] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		p.given[port] = true
		return address
	}
	must(errors.New("no address is free"))
	return ""
}

// ports are the ports that have been given out.
type ports struct {
	mu    sync.Mutex
	given map[int]bool
}

var addresses = ports{given: map[int]bool{}}

func freeAddress() string { return addresses.freeAddress() }

// process is one of the project's programs.
type process struct {
	name    string
	cmd     *exec.Cmd
	logPath string
	ended   chan struct{} // closed when it has ended
	err     error         // of Wait
}

// startProcess runs a command of a shell from the root of the repository.
func (l *lab) startProcess(name, command string, env ...string) *process {
	p := &process{name: name, logPath: filepath.Join(l.tmp, name+".log"), ended: make(chan struct{})}
	output, err := os.Create(p.logPath)
	must(err)
	defer output.Close()
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH")}, env...)
	p.cmd.Stdout, p.cmd.Stderr = output, output
	must(p.cmd.Start())
	l.mu.Lock()
	l.procs = append(l.procs, p)
	l.mu.Unlock()
	l.log("%s: started as process %d", name, p.cmd.Process.Pid)
	go func() {
		p.err = p.cmd.Wait()
		l.log("%s: ended, %v", name, p.cmd.ProcessState)
		close(p.ended)
	}()
	return p
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process.
func (l *lab) signal(p *process, s syscall.Signal) {
	l.log("%s: sent %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// awaitEnd waits until the process has ended, or kills it.
func (l *lab) awaitEnd(p *process, limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		l.signal(p, syscall.SIGKILL)
		<-p.ended
		return false
	}
}

// endProcesses ends all processes that still run.
func (l *lab) endProcesses() {
	l.mu.Lock()
	procs := l.procs
	l.mu.Unlock()
	for _, p := range procs {
		if p.running() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
		<-p.ended
	}
}

// logLines copies the lines of a process's log that contain one of the words to the record.
func (l *lab) logLines(p *process, words ...string) (found int) {
	text, err := os.ReadFile(p.logPath)
	must(err)
	for _, line := range strings.Split(string(text), "\n") {
		for _, word := range words {
			if strings.Contains(line, word) {
				found++
				l.log("%s wrote: %.600s", p.name, line)
				break
			}
		}
	}
	return found
}

// deployed returns a command of the deploy file.
func deployed(key string) string {
	text, err := os.ReadFile("deploy/balancer.toml")
	must(err)
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, key+" = \""); ok {
			command, _, _ := strings.Cut(rest, "\"")
			return command
		}
	}
	must(errors.New("the deploy file has no " + key))
	return ""
}

// writeJSON writes a value to a file.
func writeJSON(path string, value any) {
	text, err := json.MarshalIndent(value, "", " ")
	must(err)
	must(os.WriteFile(path, text, 0o600))
}

// await polls until a condition holds, and returns whether it did within the limit.
func await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// httpClient makes single calls, each on a connection of its own.
var httpClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes a call without a body and returns its status, 0 without an answer, and its text.
func call(method, address, path string) (status int, text string) {
	request, err := http.NewRequest(method, "http://"+address+path, nil)
	must(err)
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	var body bytes.Buffer
	_, _ = body.ReadFrom(response.Body)
	return response.StatusCode, strings.TrimSpace(body.String())
}
