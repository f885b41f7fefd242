package transport

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"
)

const (
	linesAtOnce = 20 // of memberlist's lines that are passed on at once
	linesEvery  = 3 * time.Second
)

// budget bounds a log: a burst of linesAtOnce, then one line each linesEvery.
type budget struct {
	mu    sync.Mutex
	room  float64
	at    time.Time
	quiet int64 // left out since the last that went out
}

func newBudget() *budget { return &budget{room: linesAtOnce, at: time.Now()} }

// lines passes memberlist's log on, within a budget: while the fleet is split it writes several lines a second. What the
// fleet's state is, the link says itself. Lines that are left out are counted and told with the next one.
type lines struct {
	log *slog.Logger
	*budget
}

// Write takes one line from package log.
func (l lines) Write(p []byte) (int, error) {
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
	quiet, ok := l.may(time.Now())
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
func (l *budget) may(now time.Time) (quiet int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.room = min(linesAtOnce, l.room+float64(now.Sub(l.at))/float64(linesEvery))
	l.at = now
	if l.room < 1 {
		l.quiet++
		return 0, false
	}
	l.room--
	quiet, l.quiet = l.quiet, 0
	return quiet, true
}
