// Package program is the proxy as a process: its configuration, its signals, its management address and its end. The
// commands differ in what they can read only.
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

// Parts of limits.memory_mb, whatever that is; a limit under 20 MB is below what the runtime and the program need.
const (
	memoryPart  = 0.6      // of the limit: the runtime collects harder from there on
	memoryLeast = 12 << 20 // below this the runtime would do little but collect
	holdPart    = 0.125    // and of the limit: for requests' and answers' bodies that are held
)

// logLevel reads a level's name; DEBUG logs each step of each request. What is no name is INFO.
func logLevel(name string) slog.Level {
	var level slog.Level
	_ = level.UnmarshalText([]byte(name))
	return level
}

// Main is a command's main; fleet reads the section fleet, and is nil in a program without.
func Main(fleet config.ClusterReader) {
	if err := run(fleet); err != nil {
		fmt.Fprintf(os.Stderr, "merlinpick-proxy: %v\n", err)
		os.Exit(1)
	}
}

func run(fleet config.ClusterReader) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel(os.Getenv("LB_LOG_LEVEL"))}))
	hup := make(chan os.Signal, 1) // from the first moment: unheeded, it would end the process
	signal.Notify(hup, syscall.SIGHUP)
	// And to the last: SIGHUP is not let go of when this returns. SIGTERM is taken from here on as well, so that one in the
	// first instant ends a process in one way only; a second one changes nothing.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	conf, err := config.Load(os.Getenv, fleet)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	base := conf
	var follow *rollout.Client // nil unless a configuration is followed
	told := make(chan delivery)
	var document []byte
	ctx, end := context.WithCancel(ctx)
	defer end()
	if conf.Service != "" {
		follow, conf, document = startRollout(ctx, conf, os.Getenv, told, log)
	}
	cfg := conf.Proxy
	cfg.Logger = log
	if conf.MemoryMB > 0 {
		cfg.OnMemoryShare = func(part float64) {
			debug.SetMemoryLimit(max(memoryLeast, int64(conf.MemoryMB*part*memoryPart*(1<<20))))
		}
		cfg.OnMemoryShare(1)
		cfg.BodyMemory = int(conf.MemoryMB * holdPart * (1 << 20))
	}
	if conf.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(conf.Cores)))
	}
	p, err := proxy.New(cfg)
	if err != nil {
		return err
	}
	r := &reloader{proxy: p, file: base, active: conf, document: document, rollout: follow, env: os.Getenv, log: log}
	go r.run(ctx, hup, told)
	if follow != nil {
		var following sync.WaitGroup
		following.Go(func() { follow.Run(ctx) })
		defer following.Wait()
		defer end()
	}
	if conf.ManagementAddress == "" {
		return p.Run(ctx)
	}
	m, err := management.Listen(conf.ManagementAddress, managedProxy{p, follow}, log)
	if err != nil {
		return err
	}
	var calls sync.WaitGroup
	calls.Go(func() {
		if err := m.Serve(); err != nil {
			log.Error("management address", "error", err)
		}
	})
	err = p.Run(ctx)
	m.Close()
	calls.Wait()
	return err
}
