package transport

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"
)

const (
	logBurst    = 20 // lines that may be written at once; then one per logInterval
	logInterval = 3 * time.Second
)

// logLimiter is a token bucket for log lines.
type logLimiter struct {
	mu         sync.Mutex
	tokens     float64
	updatedAt  time.Time
	suppressed int64 // lines since the last one that was allowed
}

func newLogLimiter() *logLimiter { return &logLimiter{tokens: logBurst, updatedAt: time.Now()} }

// allow reports whether a line may be written, and how many were suppressed before it.
func (l *logLimiter) allow(now time.Time) (suppressed int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = min(logBurst, l.tokens+float64(now.Sub(l.updatedAt))/float64(logInterval))
	l.updatedAt = now
	if l.tokens < 1 {
		l.suppressed++
		return 0, false
	}
	l.tokens--
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}

// logWriter passes memberlist's log lines to a slog.Logger. They are rate-limited: during a partition
// memberlist writes several lines a second.
type logWriter struct {
	log *slog.Logger
	*logLimiter
}

// Write logs one line that memberlist wrote with package log. Warnings and errors become level Info, others
// Debug.
func (w logWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	level := slog.LevelDebug
	for _, prefix := range []string{"[WARN]", "[ERR]", "[ERROR]"} {
		if _, rest, ok := strings.Cut(text, prefix); ok {
			text, level = strings.TrimSpace(rest), slog.LevelInfo
		}
	}
	text = strings.TrimPrefix(strings.TrimPrefix(text, "[DEBUG] "), "[INFO] ")
	text = strings.TrimPrefix(text, "memberlist: ")
	if !w.log.Enabled(context.Background(), level) {
		return len(line), nil
	}
	suppressed, ok := w.allow(time.Now())
	if !ok {
		return len(line), nil
	}
	args := []any{"text", text}
	if suppressed > 0 {
		args = append(args, "suppressed", suppressed)
	}
	w.log.Log(context.Background(), level, "memberlist", args...)
	return len(line), nil
}
