// Package program runs the proxy as a process: it handles the configuration, signals, the management address
// and the exit. The proxy commands share it and differ only in whether they can join a cluster. It makes no
// decisions about requests.
package program

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"

	"merlinpick/internal/config"
	"merlinpick/internal/management"
	"merlinpick/internal/proxy"
	"merlinpick/internal/rollout"
)

const bytesPerMB = 1 << 20 // of limits.memory_mb

// Main is the main function of a proxy command. clusterReader decodes the configuration's section "fleet"; it
// is nil in a program that cannot join a cluster. Main exits with status 1 after an error.
func Main(clusterReader config.ClusterReader) {
	if err := run(clusterReader); err != nil {
		fmt.Fprintf(os.Stderr, "merlinpick-proxy: %v\n", err)
		os.Exit(1)
	}
}

// run runs the proxy from the start until SIGTERM or an interrupt, and the drain after that.
func run(clusterReader config.ClusterReader) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel(os.Getenv("LB_LOG_LEVEL"))}))
	// SIGHUP is handled from the start to the exit: its default action would terminate the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	// SIGTERM is handled from the start as well, so that the process always ends the same way. A second one
	// has no effect.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	file, err := config.Load(os.Getenv, clusterReader)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	reload := &reloader{file: file, active: file, env: os.Getenv, log: log}
	deliveries := make(chan delivery)
	if file.Service != "" {
		reload.rollout, reload.active, reload.document = startRollout(ctx, file, os.Getenv, deliveries, log)
	}
	active := reload.active // only the reloader's goroutine may read the field once it runs
	p, err := proxy.New(processConfig(active, log))
	if err != nil {
		return err
	}
	reload.proxy = p
	go reload.run(ctx, hangups, deliveries)
	if reload.rollout != nil {
		var rolloutDone sync.WaitGroup
		rolloutDone.Go(func() { reload.rollout.Run(ctx) })
		defer rolloutDone.Wait()
		defer cancel()
	}
	return serve(ctx, p, reload.rollout, active.ManagementAddress, log)
}

// logLevel parses the name of a log level. Any other text means INFO. At DEBUG each step of each request is
// logged.
func logLevel(name string) slog.Level {
	var level slog.Level
	_ = level.UnmarshalText([]byte(name))
	return level
}

// processConfig applies the CPU and memory limits to this process and returns the configuration of the proxy.
func processConfig(active *config.Config, log *slog.Logger) proxy.Config {
	cfg := active.Proxy
	cfg.Logger = log
	if active.MemoryMB > 0 {
		cfg.MemoryBytes = int(active.MemoryMB * bytesPerMB)
		cfg.SetHeapLimit = func(bytes int64) { debug.SetMemoryLimit(bytes) }
	}
	if active.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(active.Cores)))
	}
	return cfg
}

// serve runs the proxy, and the management API if an address is given, until the proxy has drained.
func serve(ctx context.Context, p *proxy.Proxy, rolloutClient *rollout.Client, managementAddress string,
	log *slog.Logger) error {
	if managementAddress == "" {
		return p.Run(ctx)
	}
	server, err := management.Listen(managementAddress, managedProxy{p, rolloutClient}, log)
	if err != nil {
		return err
	}
	var serverDone sync.WaitGroup
	serverDone.Go(func() {
		if err := server.Serve(); err != nil {
			log.Error("management address failed", "error", err)
		}
	})
	err = p.Run(ctx)
	server.Close()
	serverDone.Wait()
	return err
}
