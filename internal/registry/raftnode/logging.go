package raftnode

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"

	"github.com/hashicorp/go-hclog"
)

// newLogger has the consensus's lines go where the program's go.
func newLogger(log *slog.Logger) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "consensus", Level: hclog.Info, JSONFormat: true, DisableTime: true,
		Output: (*logWriter)(log)})
}

type logWriter slog.Logger

// Write implements io.Writer: one line a call.
func (l *logWriter) Write(text []byte) (int, error) {
	var line map[string]any
	log := (*slog.Logger)(l)
	if json.Unmarshal(bytes.TrimSpace(text), &line) != nil {
		log.Info(string(bytes.TrimSpace(text)))
		return len(text), nil
	}
	level := slog.LevelDebug // what it does by itself is of little interest to those on call
	switch line["@level"] {
	case "warn":
		level = slog.LevelInfo
	case "error":
		level = slog.LevelWarn
	}
	message, _ := line["@message"].(string)
	args := []any{"part", "consensus"}
	for key, v := range line {
		if key[0] != '@' {
			args = append(args, key, v)
		}
	}
	log.Log(context.Background(), level, message, args...)
	return len(text), nil
}
