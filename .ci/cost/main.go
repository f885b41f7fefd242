// Command cost tells what a build of the proxy costs at its start beside another: the time until /_health answers 200
// and the most memory that was resident (VmHWM). It starts both in turn, with the smallest configuration, and ends
// with 1 where the new build's median of either is over the old's greatest figure and a margin, with 2 where it could
// not measure. What is resident of a program's file depends on the file too: one that was just linked shows 0.7 to 0.9 MB
// more than its copy, or an older one of the same code. So link both anew, or give copies of both. On a busy machine the
// old's spread grows and the word is worth less; so it is for who adds a library to the proxy, and not for CI.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"merlinpick/.ci/minimalconfig"
)

const (
	patience = 30 * time.Second       // for one start
	askEvery = 100 * time.Microsecond // between two questions for health: the grain of a start's time
)

// figures are those of the starts of one build.
type figures struct {
	start  []float64 // ms
	memory []float64 // MB (2^20)
}

func main() {
	old := flag.String("old", "", "the build to compare with")
	next := flag.String("new", "", "the build in question")
	n := flag.Int("n", 12, "starts of each")
	margin := flag.Float64("margin", 0.1, "how far over the old's greatest figure the new median may be, as a part of it")
	stay := flag.Duration("stay", 300*time.Millisecond, "how long a proxy lives once it is healthy")
	flag.Parse()
	if *old == "" || *next == "" || *n < 1 || *n > 1000 {
		flag.Usage()
		os.Exit(2)
	}
	a, b, err := measure(*old, *next, *n, *stay)
	if err != nil {
		fmt.Fprintf(os.Stderr, "cost: %v\n", err)
		os.Exit(2)
	}
	start := compare("start, ms", a.start, b.start, *margin)
	memory := compare("memory, MB", a.memory, b.memory, *margin)
	if !start || !memory {
		os.Exit(1)
	}
}

// measure starts both builds n times each. Each is first in every other turn, so that neither always follows the other.
func measure(old, next string, n int, stay time.Duration) (a, b figures, err error) {
	dir, err := os.MkdirTemp("", "cost")
	if err != nil {
		return a, b, err
	}
	defer os.RemoveAll(dir)
	builds := []struct {
		path string
		to   *figures
	}{{old, &a}, {next, &b}}
	for i := range n + 1 {
		for _, x := range builds {
			start, memory, err := one(x.path, dir, stay)
			if err != nil {
				return a, b, fmt.Errorf("%s, start %d: %w", x.path, i, err)
			}
			if i > 0 { // the first reads the file from disk
				x.to.start, x.to.memory = append(x.to.start, start), append(x.to.memory, memory)
			}
		}
		slices.Reverse(builds)
	}
	return a, b, nil
}

// one is the life of one proxy.
func one(path, dir string, stay time.Duration) (ms, mb float64, err error) {
	listen, err := minimalconfig.Free()
	if err != nil {
		return 0, 0, err
	}
	conf := filepath.Join(dir, "config.json")
	if err := os.WriteFile(conf, minimalconfig.Config(listen, ""), 0o600); err != nil {
		return 0, 0, err
	}
	var said bytes.Buffer
	cmd := exec.Command(path)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+conf, "LB_MGMT=", "TMPDIR="+dir)
	cmd.Stderr = &said
	began := time.Now()
	if err := cmd.Start(); err != nil {
		return 0, 0, err
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	ms, mb, err = life(cmd.Process.Pid, began, listen, ended, stay)
	_ = cmd.Process.Kill()
	<-ended
	if err != nil {
		err = fmt.Errorf("%w; it said:\n%s", err, said.Bytes())
	}
	return ms, mb, err
}

// life follows a proxy until it has been healthy for stay.
func life(pid int, began time.Time, listen string, ended chan error, stay time.Duration) (ms, mb float64, err error) {
	for minimalconfig.Status("GET", listen+"/_health") != http.StatusOK {
		select {
		case err := <-ended:
			ended <- err
			return 0, 0, fmt.Errorf("it ended early: %v", err)
		case <-time.After(askEvery):
		}
		if time.Since(began) > patience {
			return 0, 0, fmt.Errorf("not healthy after %v", patience)
		}
	}
	ms = float64(time.Since(began).Microseconds()) / 1000
	time.Sleep(stay)
	mb, err = peak(pid)
	return ms, mb, err
}

// peak is the most memory that was resident, in MB.
func peak(pid int) (float64, error) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if kb, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			n, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(kb, "kB")), 64)
			return n / 1024, err
		}
	}
	return 0, errors.New("its status tells no VmHWM: has it ended?")
}

// compare prints what was measured of both, and tells whether the new median is within bounds.
func compare(what string, old, next []float64, margin float64) bool {
	slices.Sort(old)
	slices.Sort(next)
	bound := old[len(old)-1] * (1 + margin)
	ok := median(next) <= bound
	word := "within"
	if !ok {
		word = "over"
	}
	fmt.Printf("%-11s old %s   new %s   the new median is %s the bound of %.2f\n", what, spread(old), spread(next), word, bound)
	return ok
}

// spread words sorted figures.
func spread(x []float64) string {
	return fmt.Sprintf("%.2f (%.2f to %.2f)", median(x), x[0], x[len(x)-1])
}

// median is that of sorted figures.
func median(x []float64) float64 {
	i := len(x) / 2
	if len(x)%2 == 1 {
		return x[i]
	}
	return (x[i-1] + x[i]) / 2
}
