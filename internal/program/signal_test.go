package program

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// runAsProgram is the environment variable that makes the test binary run as the proxy.
const runAsProgram = "MERLINPICK_TEST_AS_PROGRAM"

// TestMain runs the tests, or the proxy in a process that startProcess started.
func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		if err := run(nil); err != nil {
			os.Exit(1)
		}
		_ = syscall.Kill(os.Getpid(), syscall.SIGHUP) // between the end of run and the exit
		time.Sleep(50 * time.Millisecond)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// startProcess starts the proxy as a process with short deadlines. up is closed once it has received its
// endpoint list, which is empty. log is what it writes to stderr.
func startProcess(t *testing.T) (cmd *exec.Cmd, up chan struct{}, log *bytes.Buffer) {
	t.Helper()
	up, testDone := make(chan struct{}), make(chan struct{})
	var once sync.Once
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.RawQuery, "from=5") {
			once.Do(func() { close(up) })
			select {
			case <-testDone:
			case <-r.Context().Done():
			}
			return
		}
		_, _ = io.WriteString(w, `{"index":5,"snapshot":true,"endpoints":[]}`)
	}))
	t.Cleanup(func() { close(testDone); discovery.Close() })
	path := filepath.Join(t.TempDir(), "config.json")
	text := strings.NewReplacer("127.0.0.1:1", strings.TrimPrefix(discovery.URL, "http://"),
		`"give_up_us":8`, `"give_up_us":80000`, `"objective_us":4`, `"objective_us":40000`).Replace(validConfig)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	log = &bytes.Buffer{}
	cmd = exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runAsProgram+"=1", "LB_CONFIG="+path)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return cmd, up, log
}

// TestSignalsDuringDrain checks that signals during the drain and up to the exit neither end the process
// early nor terminate it by their default action.
func TestSignalsDuringDrain(t *testing.T) {
	for name, sig := range map[string]syscall.Signal{"SIGTERM": syscall.SIGTERM, "SIGHUP": syscall.SIGHUP} {
		t.Run(name, func(t *testing.T) {
			cmd, up, log := startProcess(t)
			select {
			case <-up:
			case <-time.After(20 * time.Second):
				t.Fatalf("the proxy has not received its endpoint list; its log:\n%s", log)
			}
			start := time.Now()
			_ = cmd.Process.Signal(syscall.SIGTERM)
			time.Sleep(50 * time.Millisecond)
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			for {
				select {
				case err := <-ended:
					if err != nil && !(sig == syscall.SIGTERM && strings.Contains(err.Error(), "terminated")) {
						t.Errorf("the process ended with %v", err)
					}
					if took := time.Since(start); took < 400*time.Millisecond || !strings.Contains(log.String(), "drained") {
						t.Errorf("ended after %v without a complete drain; the log:\n%s", took, log)
					}
					return
				case <-time.After(5 * time.Millisecond):
					_ = cmd.Process.Signal(sig)
				}
			}
		})
	}
}

// TestSIGTERMDuringStart checks that SIGTERM ends the process at any time during its start.
func TestSIGTERMDuringStart(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		cmd, _, log := startProcess(t)
		time.Sleep(after)
		_ = cmd.Process.Signal(syscall.SIGTERM)
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		select {
		case err := <-ended:
			if err != nil && !strings.Contains(err.Error(), "terminated") {
				t.Errorf("SIGTERM after %v: the process ended with %v; its log:\n%s", after, err, log)
			}
		case <-time.After(20 * time.Second):
			t.Errorf("SIGTERM after %v: the process is still running; its log:\n%s", after, log)
		}
	}
}
