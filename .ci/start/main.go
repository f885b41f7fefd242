// Command start checks the lifecycle of the proxy that the shell command in the environment variable CI_RUN
// starts. The proxy has to start with an initial endpoint list and without discovery, become healthy, be a
// single process, survive SIGHUP and exit with status 0 on SIGTERM. With a management address, an operator's
// override has to take effect and to remain in effect after an upgrade.
package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"merlinpick/.ci/minimalconfig"
)

const processTimeout = 30 * time.Second // maximum time for a start or an exit

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "start: %v\n", err)
		os.Exit(1)
	}
	fmt.Println("the proxy starts, is healthy, survives SIGHUP, keeps overrides on upgrade, exits on SIGTERM")
}

// run checks the proxy without and with a management address.
func run() error {
	dir, err := os.MkdirTemp("", "start")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := checkLifecycle(dir, ""); err != nil {
		return fmt.Errorf("without a management address: %w", err)
	}
	management, err := minimalconfig.FreeAddress()
	if err != nil {
		return err
	}
	if err := checkLifecycle(dir, management); err != nil {
		return fmt.Errorf("with a management address: %w", err)
	}
	return nil
}

// proxy is a running proxy process.
type proxy struct {
	cmd    *exec.Cmd
	exited chan error // receives the result of the process when it exits
}

// start writes a configuration to path, starts a proxy with it and waits until the URL health, which has no
// scheme, responds with 200. dir is the directory for temporary files.
func start(dir, path, listen, management, health string) (*proxy, error) {
	if err := os.WriteFile(path, minimalconfig.Config(listen, management), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", os.Getenv("CI_RUN"))
	cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "LB_MGMT=", "TMPDIR="+dir)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &proxy{cmd, make(chan error, 1)}
	go func() { p.exited <- cmd.Wait() }()
	for deadline := time.Now().Add(processTimeout); minimalconfig.Status("GET", health) != http.StatusOK; time.Sleep(20 * time.Millisecond) {
		select {
		case err := <-p.exited:
			return nil, fmt.Errorf("the proxy exited early: %w", err)
		default:
		}
		if time.Now().After(deadline) {
			p.kill()
			return nil, fmt.Errorf("the proxy was not healthy at %s after %v", health, processTimeout)
		}
	}
	return p, nil
}

// kill ends the process at once.
func (p *proxy) kill() { _ = p.cmd.Process.Kill() }

// stop sends SIGTERM and waits for the exit. It returns an error unless the exit status is 0.
func (p *proxy) stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-p.exited:
		return err
	case <-time.After(processTimeout):
		return fmt.Errorf("the proxy is still running %v after SIGTERM", processTimeout)
	}
}

// checkLifecycle checks the start, SIGHUP and the exit of a proxy and, if it has a management address, an
// override and an upgrade.
func checkLifecycle(dir, management string) error {
	listen, err := minimalconfig.FreeAddress()
	if err != nil {
		return err
	}
	path := filepath.Join(dir, "config.json")
	p, err := start(dir, path, listen, management, listen+"/_health")
	if err != nil {
		return err
	}
	defer p.kill()
	if err := checkProcess(p.cmd.Process.Pid); err != nil {
		return err
	}
	// SIGHUP reloads the configuration. A process that does not handle it would be terminated.
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	if minimalconfig.Status("GET", listen+"/_health") != http.StatusOK {
		return errors.New("the proxy is not healthy after SIGHUP")
	}
	if management == "" {
		return p.stop()
	}
	if err := checkSuspend(management); err != nil {
		return err
	}
	return checkUpgrade(p, dir, path, listen)
}

// checkSuspend checks that a server in the endpoint list can be suspended, and that an unknown one cannot.
func checkSuspend(management string) error {
	for call, want := range map[string]int{"/v1/nodos/a/suspend": 200, "/v1/nodos/b/suspend": 404} {
		if got := minimalconfig.Status("POST", management+call); got != want {
			return fmt.Errorf("POST %s: got status %d, want %d", call, got, want)
		}
	}
	return nil
}

// checkUpgrade replaces a running proxy by a second process, which has to take over the listener and the
// override.
func checkUpgrade(oldProxy *proxy, dir, path, listen string) error {
	newManagement, err := minimalconfig.FreeAddress()
	if err != nil {
		return err
	}
	newProxy, err := start(dir, path, listen, newManagement, newManagement+"/v1/readyz")
	if err != nil {
		return fmt.Errorf("start of the new process: %w", err)
	}
	defer newProxy.kill()
	if err := oldProxy.stop(); err != nil {
		return fmt.Errorf("exit of the old process: %w", err)
	}
	if text := getBody(newManagement + "/v1/metrics"); !strings.Contains(text, "\napp.ejected=1\n") {
		return fmt.Errorf("the override is not in effect after the upgrade; the metrics:\n%s", text)
	}
	if minimalconfig.Status("GET", listen+"/_health") != http.StatusOK {
		return errors.New("the proxy is not healthy after the upgrade")
	}
	return newProxy.stop()
}

// checkProcess checks the platform's requirements: the proxy has replaced the shell, has started no other
// process and is linked dynamically against the C library.
func checkProcess(pid int) error {
	proc := fmt.Sprintf("/proc/%d", pid)
	exe, err := os.Readlink(proc + "/exe")
	if err != nil {
		return err
	}
	shell, err := filepath.EvalSymlinks("/bin/sh")
	if err != nil {
		return err
	}
	if exe == shell {
		return errors.New("the command in CI_RUN leaves a shell running; it has to exec the proxy")
	}
	tasks, err := filepath.Glob(proc + "/task/*/children")
	if err != nil {
		return err
	}
	for _, path := range tasks {
		children, err := os.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ESRCH) { // the thread has ended
			continue
		}
		if err != nil {
			return err
		}
		if len(children) > 0 {
			return fmt.Errorf("the proxy started other processes: %s", children)
		}
	}
	maps, err := os.ReadFile(proc + "/maps")
	if err != nil {
		return err
	}
	if !strings.Contains(string(maps), "/libc.so.") {
		return fmt.Errorf("%s is not linked dynamically against the C library", exe)
	}
	return nil
}

// getBody returns the body of the response to a GET request to a URL without scheme. If there is an error, it
// returns the text of the error instead.
func getBody(url string) string {
	response, err := http.Get("http://" + url)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
