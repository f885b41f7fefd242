// Command start checks the program that the variable CI_RUN starts: the proxy starts with an initial endpoint list and no
// discovery, is healthy, is one process, reloads on SIGHUP and exits with 0 on SIGTERM; with a management address also that
// an operator override takes effect and outlasts an upgrade.
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

const processTimeout = 30 * time.Second // for a start or an exit

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "start: %v\n", err)
		os.Exit(1)
	}
	fmt.Println("the proxy starts, is healthy, survives SIGHUP, keeps an override over an upgrade and exits on SIGTERM")
}

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

// proxy is a running process.
type proxy struct {
	cmd    *exec.Cmd
	exited chan error
}

// start starts a proxy and waits until its health URL, without scheme, answers 200.
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
			return nil, fmt.Errorf("it exited early: %w", err)
		default:
		}
		if time.Now().After(deadline) {
			p.kill()
			return nil, fmt.Errorf("%s: not healthy after %v", health, processTimeout)
		}
	}
	return p, nil
}

func (p *proxy) kill() { _ = p.cmd.Process.Kill() }

// stop sends SIGTERM and waits for the exit, which has to be with status 0.
func (p *proxy) stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-p.exited:
		return err
	case <-time.After(processTimeout):
		return fmt.Errorf("still running %v after SIGTERM", processTimeout)
	}
}

// checkLifecycle checks start, SIGHUP, with a management address an override and an upgrade too, and the exit.
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
	// SIGHUP reloads the configuration; unhandled it would end the process.
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	if minimalconfig.Status("GET", listen+"/_health") != http.StatusOK {
		return errors.New("not healthy after SIGHUP")
	}
	if management == "" {
		return p.stop()
	}
	if err := checkSuspend(management); err != nil {
		return err
	}
	return checkUpgrade(p, dir, path, listen)
}

// checkSuspend suspends a server that is in the list, and one that is not.
func checkSuspend(management string) error {
	for call, want := range map[string]int{"/v1/nodos/a/suspend": 200, "/v1/nodos/b/suspend": 404} {
		if got := minimalconfig.Status("POST", management+call); got != want {
			return fmt.Errorf("%s: got %d, want %d", call, got, want)
		}
	}
	return nil
}

// checkUpgrade replaces a running proxy by a second process.
func checkUpgrade(p *proxy, dir, path, listen string) error {
	second, err := minimalconfig.FreeAddress()
	if err != nil {
		return err
	}
	next, err := start(dir, path, listen, second, second+"/v1/readyz")
	if err != nil {
		return fmt.Errorf("successor: %w", err)
	}
	defer next.kill()
	if err := p.stop(); err != nil {
		return fmt.Errorf("predecessor: %w", err)
	}
	if text := body(second + "/v1/metrics"); !strings.Contains(text, "\napp.ejected=1\n") {
		return fmt.Errorf("the override did not outlast the upgrade:\n%s", text)
	}
	if minimalconfig.Status("GET", listen+"/_health") != http.StatusOK {
		return errors.New("not healthy after the upgrade")
	}
	return next.stop()
}

// checkProcess checks what the platform requires: the shell was replaced by the proxy, which has started no other process
// and is linked dynamically against the C library.
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
		return errors.New("run leaves a shell behind: it has to exec the proxy")
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
			return fmt.Errorf("run starts further processes: %s", children)
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

// body returns the body of a response, or the error instead.
func body(url string) string {
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
