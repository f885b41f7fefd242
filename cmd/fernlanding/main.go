// Command fernlanding is one real proxy: it balances calls to the backends of a tier.
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/url"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"

	"fernlanding/internal/discovery"
	"fernlanding/internal/mgmt"
	"fernlanding/internal/proxy"
	"fernlanding/internal/settings"
)

const (
	memoryPart     = 0.6      // of the limit: the runtime collects harder from there on
	memoryLeast    = 12 << 20 // below this the runtime would do little but collect
	holdPart       = 0.125    // and of the limit: for requests' and answers' bodies that are held
	defaultSockets = 1024
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "fernlanding: %v\n", err)
		os.Exit(1)
	}
}

func run() error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	hup := make(chan os.Signal, 1) // from the first moment: unheeded, it would end the process
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	cfg, lim, err := load(os.Getenv)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	cfg.Log = log
	if lim.MemoryMB > 0 {
		cfg.Memory = func(part float64) {
			debug.SetMemoryLimit(max(memoryLeast, int64(lim.MemoryMB*part*memoryPart*(1<<20))))
		}
		cfg.Memory(1)
		cfg.Hold = int(lim.MemoryMB * holdPart * (1 << 20))
	}
	if lim.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(lim.Cores)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	p, err := proxy.New(cfg)
	if err != nil {
		return err
	}
	go reload(ctx, hup, p, lim.file, os.Getenv, log)
	if lim.mgmt == "" {
		return p.Run(ctx)
	}
	m, err := mgmt.Listen(lim.mgmt, p, log)
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

// reloads is what a configuration that came with SIGHUP goes to.
type reloads interface {
	Reload(cfg proxy.Config) error
	Reloaded(taken bool)
}

// reload reads the configuration again at each SIGHUP until the context ends. One with any fault changes nothing;
// to lack a key that the one in force has is a fault too, since a file cut short may make sense.
func reload(ctx context.Context, hup <-chan os.Signal, p reloads, inForce []byte, env func(string) string,
	log *slog.Logger) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		cfg, lim, err := load(env)
		if err == nil {
			err = settings.Lacks(inForce, lim.file)
		}
		if err == nil {
			err = p.Reload(cfg)
		}
		p.Reloaded(err == nil)
		if err != nil {
			log.Error("reload: the configuration stands as it was", "error", err)
			continue
		}
		inForce = lim.file
		log.Info("reload", "discovery", cfg.Discovery, "classes", cfg.Site.Classes)
	}
}

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`

	mgmt string // the management address; empty for none
	file []byte // the configuration as it was read
}

// load reads the file that LB_CONFIG names; LB_LISTEN, LB_DISCOVERY and LB_MGMT stand in for what it lacks.
func load(env func(string) string) (proxy.Config, limits, error) {
	var cfg proxy.Config
	path := env("LB_CONFIG")
	if path == "" {
		return cfg, limits{}, errors.New("LB_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return cfg, limits{}, err
	}
	var file struct {
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Members   []string        `json:"discovery_members"` // of the project's list service, in place of discovery
		Kept      string          `json:"discovery_state"`   // folder of the last list; with members
		Mgmt      string          `json:"mgmt"`
		Seed      string          `json:"seed"`
		Limits    limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(data, &file); err != nil {
		return cfg, file.Limits, fmt.Errorf("%s: %w", path, err)
	}
	if file.Limits.mgmt = file.Mgmt; file.Mgmt == "" {
		file.Limits.mgmt = env("LB_MGMT")
	}
	file.Limits.file = data
	cfg.Watched = file.Limits.mgmt != ""
	// Where the folder is not the proxy's own, as it is on the platform, its address tells it from others.
	cfg.State = filepath.Join(cmp.Or(env("TMPDIR"), os.TempDir()), "fernlanding-"+url.PathEscape(cmp.Or(file.Listen, env("LB_LISTEN"))))
	cfg.Listen, cfg.Sockets, cfg.Kept = file.Listen, file.Limits.Sockets, file.Kept
	cfg.Discovery = discovery.Source{Address: file.Discovery, Members: file.Members}
	if cfg.Listen == "" {
		cfg.Listen = env("LB_LISTEN")
	}
	if cfg.Discovery.Address == "" {
		cfg.Discovery.Address = env("LB_DISCOVERY")
	}
	if cfg.Listen == "" || cfg.Discovery.Address == "" && len(file.Members) == 0 {
		return cfg, file.Limits, errors.New("listen or discovery is missing")
	}
	for i, m := range file.Members {
		if _, _, err := net.SplitHostPort(m); err != nil {
			return cfg, file.Limits, fmt.Errorf("discovery_members[%d]: %w", i, err)
		}
	}
	if cfg.Kept != "" && len(file.Members) == 0 {
		return cfg, file.Limits, errors.New("discovery_state: needs discovery_members; the platform's list is not kept")
	}
	if cfg.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return cfg, file.Limits, fmt.Errorf("seed: %w", err)
	}
	if cfg.Sockets < 0 || file.Limits.Cores < 0 || file.Limits.MemoryMB < 0 {
		return cfg, file.Limits, errors.New("limits: negative")
	}
	if cfg.Sockets == 0 {
		cfg.Sockets = defaultSockets
	}
	if len(file.Settings) == 0 {
		return cfg, file.Limits, errors.New("settings is missing")
	}
	if cfg.Site, err = settings.Decode(file.Settings); err == nil {
		err = cfg.Site.CheckSockets()
	}
	if err != nil {
		return cfg, file.Limits, fmt.Errorf("settings: %w", err)
	}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		if cfg.Known, err = discovery.Parse(file.Known); err != nil {
			return cfg, file.Limits, fmt.Errorf("known: %w", err)
		}
	}
	return cfg, file.Limits, nil
}
