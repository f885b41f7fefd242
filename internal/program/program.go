// Package program runs the proxy as a process: configuration, signals, management address and exit. The commands differ
// only in whether they can join a cluster. It never decides anything about requests.
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

// Shares of limits.memory_mb (1 MB = 1<<20 bytes), and a floor. A limit under 20 MB is less than the runtime and the program
// need.
const (
	heapFraction   = 0.6      // soft limit of the heap (debug.SetMemoryLimit)
	minHeapBytes   = 12 << 20 // below this the runtime would do little but collect
	bodiesFraction = 0.125    // each for request bodies, request heads and backend responses: 0.375 in all
	bytesPerMB     = 1 << 20
)

// Main is the main function of a command. clusterReader reads the configuration's section "fleet"; nil in a program that
// cannot join a cluster. It exits with status 1 after an error.
func Main(clusterReader config.ClusterReader) {
	if err := run(clusterReader); err != nil {
		fmt.Fprintf(os.Stderr, "merlinpick-proxy: %v\n", err)
		os.Exit(1)
	}
}

func run(clusterReader config.ClusterReader) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel(os.Getenv("LB_LOG_LEVEL"))}))
	// SIGHUP is taken from the first moment and never given back: unhandled it would end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	// SIGTERM is taken from here on too, so that there is one way to end; a second one changes nothing.
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
	active := reload.active // the reloader's from here on
	p, err := proxy.New(processConfig(active, log))
	if err != nil {
		return err
	}
	reload.proxy = p
	go reload.run(ctx, hangups, deliveries)
	if reload.rollout != nil {
		var following sync.WaitGroup
		following.Go(func() { reload.rollout.Run(ctx) })
		defer following.Wait()
		defer cancel()
	}
	return serve(ctx, p, reload.rollout, active.ManagementAddress, log)
}

// logLevel parses a level's name; any other text is INFO. DEBUG logs each step of each request.
func logLevel(name string) slog.Level {
	var level slog.Level
	_ = level.UnmarshalText([]byte(name))
	return level
}

// processConfig applies the limits of cores and memory to this process, and returns the proxy's configuration.
func processConfig(active *config.Config, log *slog.Logger) proxy.Config {
	cfg := active.Proxy
	cfg.Logger = log
	if active.MemoryMB > 0 {
		cfg.OnMemoryShare = func(share float64) {
			debug.SetMemoryLimit(max(minHeapBytes, int64(active.MemoryMB*share*heapFraction*bytesPerMB)))
		}
		cfg.OnMemoryShare(1)
		cfg.BodyMemory = int(active.MemoryMB * bodiesFraction * bytesPerMB)
	}
	if active.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(active.Cores)))
	}
	return cfg
}

// serve runs the proxy, and its management address if it has one, until the proxy has drained.
func serve(ctx context.Context, p *proxy.Proxy, follower *rollout.Client, managementAddress string, log *slog.Logger) error {
	if managementAddress == "" {
		return p.Run(ctx)
	}
	server, err := management.Listen(managementAddress, managedProxy{p, follower}, log)
	if err != nil {
		return err
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := server.Serve(); err != nil {
			log.Error("management address failed", "error", err)
		}
	})
	err = p.Run(ctx)
	server.Close()
	serving.Wait()
	return err
}
