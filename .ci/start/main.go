// Command start starts the proxy by the command in CI_RUN, with a list that it knows and no discovery, asks for its
// health over loopback, looks at its process, and ends it with SIGTERM; then again with a management address, a ban
// and an upgrade in between.
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

const patience = 30 * time.Second

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "start: %v\n", err)
		os.Exit(1)
	}
	fmt.Println("the proxy starts, is healthy, outlives SIGHUP, keeps a ban over an upgrade and ends on SIGTERM")
}

func run() error {
	dir, err := os.MkdirTemp("", "start")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := life(dir, ""); err != nil {
		return fmt.Errorf("without a management address: %w", err)
	}
	mgmt, err := minimalconfig.Free()
	if err != nil {
		return err
	}
	if err := life(dir, mgmt); err != nil {
		return fmt.Errorf("with a management address: %w", err)
	}
	return nil
}

// proxy is one process of run.
type proxy struct {
	cmd   *exec.Cmd
	ended chan error
}

// start starts run with a configuration, and waits until that is healthy by the address and path given.
func start(dir, path, listen, mgmt, health string) (*proxy, error) {
	if err := os.WriteFile(path, minimalconfig.Config(listen, mgmt), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", os.Getenv("CI_RUN"))
	cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "LB_MGMT=", "TMPDIR="+dir)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &proxy{cmd, make(chan error, 1)}
	go func() { p.ended <- cmd.Wait() }()
	for end := time.Now().Add(patience); minimalconfig.Status("GET", health) != http.StatusOK; time.Sleep(20 * time.Millisecond) {
		select {
		case err := <-p.ended:
			return nil, fmt.Errorf("it ended early: %v", err)
		default:
		}
		if time.Now().After(end) {
			p.kill()
			return nil, fmt.Errorf("%s: no yes after %v", health, patience)
		}
	}
	return p, nil
}

func (p *proxy) kill() { _ = p.cmd.Process.Kill() }

// stop ends it with SIGTERM.
func (p *proxy) stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-p.ended:
		return err
	case <-time.After(patience):
		return fmt.Errorf("still there %v after SIGTERM", patience)
	}
}

// life plays a proxy's life: start, SIGHUP, with a management address a ban and an upgrade too, and the end.
func life(dir, mgmt string) error {
	listen, err := minimalconfig.Free()
	if err != nil {
		return err
	}
	path := filepath.Join(dir, "config.json")
	p, err := start(dir, path, listen, mgmt, listen+"/_health")
	if err != nil {
		return err
	}
	defer p.kill()
	if err := oneProcess(p.cmd.Process.Pid); err != nil {
		return err
	}
	// SIGHUP reads the configuration again; by itself it would end the process.
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	if minimalconfig.Status("GET", listen+"/_health") != http.StatusOK {
		return fmt.Errorf("not healthy after SIGHUP")
	}
	if mgmt == "" {
		return p.stop()
	}
	for call, want := range map[string]int{"/v1/nodos/a/suspend": 200, "/v1/nodos/b/suspend": 404} {
		if got := minimalconfig.Status("POST", mgmt+call); got != want {
			return fmt.Errorf("%s: got %d, want %d", call, got, want)
		}
	}
	second, err := minimalconfig.Free()
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
		return fmt.Errorf("the ban did not outlast the upgrade:\n%s", text)
	}
	if minimalconfig.Status("GET", listen+"/_health") != http.StatusOK {
		return fmt.Errorf("not healthy after the upgrade")
	}
	return next.stop()
}

// oneProcess holds run to what the fleet's platform needs: the shell has given way to the proxy, which has
// started no other process and is linked dynamically against the C library.
func oneProcess(pid int) error {
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
		return fmt.Errorf("run leaves a shell behind: it has to exec the proxy")
	}
	tasks, err := filepath.Glob(proc + "/task/*/children")
	if err != nil {
		return err
	}
	for _, path := range tasks {
		children, err := os.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ESRCH) { // a thread that has ended
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

func body(url string) string {
	resp, err := http.Get("http://" + url)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
