package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"merlinpick/internal/registry/api"
	"merlinpick/internal/registry/config"
	"merlinpick/internal/registry/metrics"
	"merlinpick/internal/registry/raftnode"
)

const endWait = 2 * time.Second // for those who watch to be told to go elsewhere

type serveCommand struct {
	Config string `type:"path" help:"TOML; docs/discovery.md has the keys."`
}

// Run runs a member until SIGTERM or SIGINT.
func (c *serveCommand) Run(ctx context.Context, log *slog.Logger) (err error) {
	f, err := config.Read(c.Config)
	if err != nil {
		return err
	}
	a, err := api.Listen(api.Config{Listen: f.Listen, Name: f.Name, MaxWatches: f.MaxWatches, Logger: log})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var parts sync.WaitGroup
	defer parts.Wait()
	defer a.Shutdown(endWait)
	parts.Go(func() { stop(a.Serve()) })
	var figs *metrics.Server
	if f.MetricsAddress != "" {
		if figs, err = metrics.Listen(f.MetricsAddress, a, log); err != nil {
			return err
		}
		defer figs.Close()
		parts.Go(func() { stop(figs.Serve()) })
	}
	cfg := f.Node()
	cfg.Logger = log
	m, err := raftnode.Open(ctx, cfg)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	if err != nil {
		return err
	}
	a.SetNode(m)
	if figs != nil {
		figs.SetNode(m)
		log.Info("a member of the list service", "name", f.Name, "list", a.Addr(), "figures", figs.Addr(), "dir", f.Dir)
	} else {
		log.Info("a member of the list service", "name", f.Name, "list", a.Addr(), "dir", f.Dir)
	}
	<-ctx.Done()
	cause := context.Cause(ctx)
	a.Shutdown(endWait)
	if err := m.Close(); err != nil {
		log.Warn("the member did not end cleanly", "error", err)
	}
	if !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

type checkCommand struct {
	Config string `type:"path" help:"TOML; docs/discovery.md has the keys."`
}

// Run checks a configuration and the directory that it names.
func (c *checkCommand) Run(log *slog.Logger) error {
	f, err := config.Read(c.Config)
	if err != nil {
		return err
	}
	empty, err := raftnode.Check(f.Dir, f.Name, log)
	if err != nil {
		return fmt.Errorf("%w: %w", errNo, err)
	}
	what := "whole"
	if empty {
		what = "empty"
	}
	fmt.Printf("%s: member %s of %d, list on %s; %s is %s\n", c.Config, f.Name, max(1, len(f.Members)), f.Listen, f.Dir, what)
	return nil
}
