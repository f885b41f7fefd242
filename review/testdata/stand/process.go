package main

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// root is the repository's folder: run.sh starts this program there.
var root = func() string { dir, err := os.Getwd(); must(err); return dir }()

// deployCommand returns a command of the deploy file.
func deployCommand(key string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	must(err)
	match := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"`).FindSubmatch(text)
	if match == nil {
		void("deploy/balancer.toml has no %s", key)
	}
	return string(match[1])
}

// process is a program of the project that the test has started.
type process struct {
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
}

var (
	processesMu sync.Mutex
	processes   []*process
)

// start starts a command from the repository's folder by /bin/sh -c.
func start(command, logPath string, env ...string) *process {
	log, err := os.Create(logPath)
	must(err)
	p := &process{cmd: exec.Command("/bin/sh", "-c", command), log: log, exited: make(chan struct{})}
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = root, log, log
	p.cmd.Env = append(os.Environ(), env...)
	// The process ends with this one, also if this one is killed: see main.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(p.cmd.Start())
	processesMu.Lock()
	processes = append(processes, p)
	processesMu.Unlock()
	go func() { _ = p.cmd.Wait(); close(p.exited) }()
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	if !p.hasExited() {
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	p.log.Close()
}

// endAll ends all processes that the test has started.
func endAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		p.kill()
	}
}

// startProxy starts a proxy by the deploy file's run and waits until it is healthy.
func startProxy(dir string, site siteConfig, known list) *process {
	tmp := filepath.Join(dir, "tmp-"+site.name)
	must(os.MkdirAll(tmp, 0o700))
	p := start(deployCommand("run"), filepath.Join(dir, site.name+".log"), "LB_CONFIG="+site.write(dir, known), "TMPDIR="+tmp,
		"LB_NAME="+site.name, "LB_LISTEN="+site.listen, "LB_DISCOVERY="+site.discovery, "LB_MGMT=")
	awaitHealthy(p, site.listen)
	return p
}

// awaitHealthy waits until a proxy's health check answers 200.
func awaitHealthy(p *process, listen string) {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if response, err := client.Get("http://" + listen + "/_health"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if p.hasExited() {
			break
		}
	}
	text, _ := os.ReadFile(p.log.Name())
	void("the proxy is not ready after 30 s: %s", strings.TrimSpace(string(text)))
}
