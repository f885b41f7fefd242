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

const shutdownTimeout = 2 * time.Second // for the API's calls in flight, such as watches, to be answered

type serveCommand struct {
	Config string `type:"path" help:"TOML file; docs/discovery.md lists the keys."`
}

// Run runs a member until SIGTERM or SIGINT.
func (c *serveCommand) Run(ctx context.Context, logger *slog.Logger) (err error) {
	file, err := config.Read(c.Config)
	if err != nil {
		return err
	}
	apiServer, err := api.Listen(api.Config{Listen: file.Listen, Name: file.Name, MaxWatches: file.MaxWatches, Logger: logger})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var servers sync.WaitGroup
	defer servers.Wait()
	defer apiServer.Shutdown(shutdownTimeout)
	servers.Go(func() { stop(apiServer.Serve()) })
	var metricsServer *metrics.Server
	if file.MetricsAddress != "" {
		if metricsServer, err = metrics.Listen(file.MetricsAddress, apiServer, logger); err != nil {
			return err
		}
		defer metricsServer.Close()
		servers.Go(func() { stop(metricsServer.Serve()) })
	}
	nodeConfig := file.Node()
	nodeConfig.Logger = logger
	node, err := raftnode.Open(ctx, nodeConfig)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	if err != nil {
		return err
	}
	apiServer.SetNode(node)
	metricsAddress := ""
	if metricsServer != nil {
		metricsServer.SetNode(node)
		metricsAddress = metricsServer.Addr()
	}
	logger.Info("member started", "member", file.Name, "address", apiServer.Addr(), "metrics", metricsAddress, "dir", file.Dir)
	<-ctx.Done()
	cause := context.Cause(ctx)
	apiServer.Shutdown(shutdownTimeout)
	if err := node.Close(); err != nil {
		logger.Warn("unclean shutdown", "error", err)
	}
	if !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

type checkCommand struct {
	Config string `type:"path" help:"TOML file; docs/discovery.md lists the keys."`
}

// Run checks a configuration and the member's directory that it names.
func (c *checkCommand) Run(logger *slog.Logger) error {
	file, err := config.Read(c.Config)
	if err != nil {
		return err
	}
	empty, err := raftnode.Check(file.Dir, file.Name, logger)
	if err != nil {
		return fmt.Errorf("%w: %w", errRejected, err)
	}
	content := "intact"
	if empty {
		content = "empty"
	}
	fmt.Printf("%s: member %s of %d, API on %s; directory %s is %s\n", c.Config, file.Name,
		max(1, len(file.Members)), file.Listen, file.Dir, content)
	return nil
}
