package raftnode

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"

	"github.com/hashicorp/go-hclog"
)

// newLogger returns a logger for raft that writes to the program's log.
func newLogger(logger *slog.Logger) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Info, JSONFormat: true, DisableTime: true,
		Output: (*logWriter)(logger)})
}

// logWriter turns raft's JSON lines into records of a slog.Logger, one level lower: raft's internal events
// are rarely of use to on-call staff.
type logWriter slog.Logger

// Write implements io.Writer. It expects one line per call.
func (w *logWriter) Write(text []byte) (int, error) {
	var line map[string]any
	logger := (*slog.Logger)(w)
	if json.Unmarshal(bytes.TrimSpace(text), &line) != nil {
		logger.Info(string(bytes.TrimSpace(text)))
		return len(text), nil
	}
	level := slog.LevelDebug
	switch line["@level"] {
	case "warn":
		level = slog.LevelInfo
	case "error":
		level = slog.LevelWarn
	}
	message, _ := line["@message"].(string)
	args := []any{"part", "raft"}
	for key, v := range line {
		if key[0] != '@' {
			args = append(args, key, v)
		}
	}
	logger.Log(context.Background(), level, message, args...)
	return len(text), nil
}
