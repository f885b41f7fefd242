package soak

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"merlinpick/internal/faultlab/result"
)

const maxLogLine = 1 << 20 // bytes

// failurePatterns are texts that show a failure of the program if they are in a proxy's log.
var failurePatterns = []string{`msg="rule broken"`, "panic:", "fatal error:", "WARNING: DATA RACE", "panic serving"}

// Failures returns the failures of a play: the broken rules, the crashes, and the lines of the proxies' logs
// below dir that show a failure.
func Failures(p result.Play, dir string) (found []string, err error) {
	for rule, count := range p.ViolationCounts {
		if count > 0 {
			found = append(found, fmt.Sprintf("rule %s broken %d times", rule, count))
		}
	}
	for _, v := range p.Violations {
		found = append(found, fmt.Sprintf("rule %s broken at %s by %s (nodo %s, attempt %s): %s", v.Rule,
			v.At.Format("15:04:05.000"), v.Proxy, v.Server, v.Attempt, v.Text))
	}
	if count := p.Metrics["crashed"]; count > 0 {
		found = append(found, fmt.Sprintf("%v proxies crashed", count))
	}
	logs, err := filepath.Glob(filepath.Join(dir, "logs", "*.log"))
	if err != nil {
		return nil, err
	}
	for _, path := range logs {
		lines, err := scanLog(path)
		if err != nil {
			return nil, err
		}
		found = append(found, lines...)
	}
	return found, nil
}

// scanLog returns the lines of a log that contain a failure pattern, with the file's name.
func scanLog(path string) (found []string, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		for _, pattern := range failurePatterns {
			if strings.Contains(lines.Text(), pattern) {
				found = append(found, filepath.Base(path)+": "+lines.Text())
			}
		}
	}
	return found, lines.Err()
}
