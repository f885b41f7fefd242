package transport

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"
)

const (
	logBurst    = 20 // of memberlist's lines that are passed on at once
	logInterval = 3 * time.Second
)

// budget bounds a log: a burst of linesAtOnce, then one line each linesEvery.
type logLimiter struct {
	mu         sync.Mutex
	tokens     float64
	at         time.Time
	suppressed int64 // left out since the last that went out
}

func newLogLimiter() *logLimiter { return &logLimiter{tokens: logBurst, at: time.Now()} }

// lines passes memberlist's log on, within a budget: while the fleet is split it writes several lines a second. What the
// fleet's state is, the link says itself. Lines that are left out are counted and told with the next one.
type logWriter struct {
	log *slog.Logger
	*logLimiter
}

// Write takes one line from package log.
func (l logWriter) Write(p []byte) (int, error) {
	text := strings.TrimSpace(string(p))
	level := slog.LevelDebug
	for mark, is := range map[string]slog.Level{"[WARN]": slog.LevelInfo, "[ERR]": slog.LevelInfo, "[ERROR]": slog.LevelInfo} {
		if _, rest, ok := strings.Cut(text, mark); ok {
			text, level = strings.TrimSpace(rest), is
		}
	}
	text = strings.TrimPrefix(strings.TrimPrefix(text, "[DEBUG] "), "[INFO] ")
	text = strings.TrimPrefix(text, "memberlist: ")
	if !l.log.Enabled(context.Background(), level) {
		return len(p), nil
	}
	quiet, ok := l.allow(time.Now())
	if !ok {
		return len(p), nil
	}
	args := []any{"text", text}
	if quiet > 0 {
		args = append(args, "left_out", quiet)
	}
	l.log.Log(context.Background(), level, "fleet membership", args...)
	return len(p), nil
}

// may tells whether a line goes out, and how many were left out before it.
func (l *logLimiter) allow(now time.Time) (quiet int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = min(logBurst, l.tokens+float64(now.Sub(l.at))/float64(logInterval))
	l.at = now
	if l.tokens < 1 {
		l.suppressed++
		return 0, false
	}
	l.tokens--
	quiet, l.suppressed = l.suppressed, 0
	return quiet, true
}
