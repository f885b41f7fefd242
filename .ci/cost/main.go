// Command cost compares the startup cost of two builds of the proxy: the time until /_health responds with
// 200, and the peak of resident memory (VmHWM). It starts the two builds alternately with a minimal
// configuration. The exit status is 1 if either median of the new build exceeds the maximum of the old build
// by more than a margin, and 2 if a measurement failed.
//
// Resident memory also depends on the executable file: a newly linked one shows 0.7 to 0.9 MB more than its
// copy, or than an older one of the same code. Link both builds anew, or pass copies of both. On a busy
// machine the spread of the old build grows, which makes the comparison less sensitive. The command is meant
// for changes that add a library to the proxy, and is not part of CI.
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
	startTimeout = 30 * time.Second
	pollInterval = 100 * time.Microsecond // between requests to /_health; the resolution of the startup time
)

// measurements are the results of all measured starts of one build.
type measurements struct {
	startMs  []float64 // startup times in ms
	memoryMB []float64 // peaks of resident memory, in units of 2^20 bytes
}

func main() {
	oldPath := flag.String("old", "", "path of the old build, to compare with")
	newPath := flag.String("new", "", "path of the new build")
	starts := flag.Int("n", 12, "number of measured starts of each build")
	margin := flag.Float64("margin", 0.1, "fraction of the old maximum by which the new median may exceed it")
	runFor := flag.Duration("stay", 300*time.Millisecond, "how long each proxy runs after it became healthy")
	flag.Parse()
	if *oldPath == "" || *newPath == "" || *starts < 1 || *starts > 1000 {
		flag.Usage()
		os.Exit(2)
	}
	oldRuns, newRuns, err := measure(*oldPath, *newPath, *starts, *runFor)
	if err != nil {
		fmt.Fprintf(os.Stderr, "cost: %v\n", err)
		os.Exit(2)
	}
	startWithin := compare("start, ms", oldRuns.startMs, newRuns.startMs, *margin)
	memoryWithin := compare("memory, MB", oldRuns.memoryMB, newRuns.memoryMB, *margin)
	if !startWithin || !memoryWithin {
		os.Exit(1)
	}
}

// measure starts both builds the given number of times, and once before that without measuring. The two take
// turns in being started first.
func measure(oldPath, newPath string, starts int, runFor time.Duration) (
	oldRuns, newRuns measurements, err error) {
	dir, err := os.MkdirTemp("", "cost")
	if err != nil {
		return oldRuns, newRuns, err
	}
	defer os.RemoveAll(dir)
	builds := []struct {
		path string
		runs *measurements
	}{{oldPath, &oldRuns}, {newPath, &newRuns}}
	for i := range starts + 1 {
		for _, build := range builds {
			startMs, memoryMB, err := measureStart(build.path, dir, runFor)
			if err != nil {
				return oldRuns, newRuns, fmt.Errorf("%s, start %d: %w", build.path, i, err)
			}
			if i > 0 { // not the first start, which reads the executable from disk
				build.runs.startMs = append(build.runs.startMs, startMs)
				build.runs.memoryMB = append(build.runs.memoryMB, memoryMB)
			}
		}
		slices.Reverse(builds)
	}
	return oldRuns, newRuns, nil
}

// measureStart starts one proxy, measures it and kills it. dir is the directory for its configuration and
// temporary files.
func measureStart(path, dir string, runFor time.Duration) (startMs, memoryMB float64, err error) {
	listen, err := minimalconfig.FreeAddress()
	if err != nil {
		return 0, 0, err
	}
	config := filepath.Join(dir, "config.json")
	if err := os.WriteFile(config, minimalconfig.Config(listen, ""), 0o600); err != nil {
		return 0, 0, err
	}
	var output bytes.Buffer
	cmd := exec.Command(path)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+config, "LB_MGMT=", "TMPDIR="+dir)
	cmd.Stderr = &output
	startedAt := time.Now()
	if err := cmd.Start(); err != nil {
		return 0, 0, err
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	startMs, memoryMB, err = measureProcess(cmd.Process.Pid, startedAt, listen, exited, runFor)
	_ = cmd.Process.Kill()
	<-exited
	if err != nil {
		err = fmt.Errorf("%w; output of the proxy:\n%s", err, output.Bytes())
	}
	return startMs, memoryMB, err
}

// measureProcess waits until a proxy has been healthy for the duration runFor, and returns its startup time
// and peak memory.
func measureProcess(pid int, startedAt time.Time, listen string, exited chan error, runFor time.Duration) (
	startMs, memoryMB float64, err error) {
	for minimalconfig.Status("GET", listen+"/_health") != http.StatusOK {
		select {
		case err := <-exited:
			exited <- err
			return 0, 0, fmt.Errorf("the proxy exited early: %w", err)
		case <-time.After(pollInterval):
		}
		if time.Since(startedAt) > startTimeout {
			return 0, 0, fmt.Errorf("the proxy was not healthy after %v", startTimeout)
		}
	}
	startMs = float64(time.Since(startedAt).Microseconds()) / 1000
	time.Sleep(runFor)
	memoryMB, err = peakMemory(pid)
	return startMs, memoryMB, err
}

// peakMemory returns the peak of a process's resident memory in units of 2^20 bytes.
func peakMemory(pid int) (float64, error) {
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
	return 0, errors.New("no VmHWM in the process status; the proxy may have exited")
}

// compare prints the measurements of both builds and reports whether the new median is at most the old
// maximum plus the margin.
func compare(name string, oldValues, newValues []float64, margin float64) bool {
	slices.Sort(oldValues)
	slices.Sort(newValues)
	bound := oldValues[len(oldValues)-1] * (1 + margin)
	isWithin := median(newValues) <= bound
	result := "within"
	if !isWithin {
		result = "over"
	}
	fmt.Printf("%-11s old %s   new %s   the new median is %s the bound of %.2f\n",
		name, formatSpread(oldValues), formatSpread(newValues), result, bound)
	return isWithin
}

// formatSpread formats the median and the range of sorted values.
func formatSpread(sorted []float64) string {
	return fmt.Sprintf("%.2f (%.2f to %.2f)", median(sorted), sorted[0], sorted[len(sorted)-1])
}

// median returns the median of sorted values.
func median(sorted []float64) float64 {
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
