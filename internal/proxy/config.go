package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"syscall"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/handover"
	"merlinpick/internal/settings"
)

// ErrStopped means that the proxy has ended, so that it takes no other settings and no successor.
var ErrStopped = errors.New("proxy: this process has stopped serving")

// DescriptorLimitError means that a process may open too few files to proxy anything.
type DescriptorLimitError struct {
	Limit             int // of the process
	Clients, Backends int // connections that would be left for each side
}

func (e *DescriptorLimitError) Error() string {
	return fmt.Sprintf("proxy: a limit of %d open files leaves %d connections for clients and %d for backends, each needs %d: raise it",
		e.Limit, e.Clients, e.Backends, minConns)
}

// Config is what a proxy starts with.
type Config struct {
	Listen         string // address for clients
	Discovery      discovery.Source
	Seed           uint64
	MaxDescriptors int             // files that the process may hold open
	InitialList    *discovery.List // the configuration's list; may be nil
	ListCacheDir   string          // folder of the last list, for a Discovery with members; empty: none
	StateDir       string          // directory of what outlives the process; with Managed
	Managed        bool            // there is a management address: metrics are kept up and descriptors reserved for its callers
	Site           *settings.Site
	Logger         *slog.Logger

	Cluster *ClusterPlan // nil for a proxy on its own

	BodyMemory int // bytes for buffered bodies; 0 for the default, 16 MiB

	// OnMemoryShare is called with the fraction of the memory limit that is this process's; may be nil.
	OnMemoryShare func(fraction float64)
}

// balancerSettings are the settings' own, with how long an endpoint list counts as evidence that a server is listed. The
// registry's list does for as long as no other comes.
func (cfg Config) balancerSettings() balancer.Settings {
	s := cfg.Site.Balancer
	if len(cfg.Discovery.Members) == 0 {
		grace := time.Duration(s.DrainGrace) * time.Microsecond
		s.MembershipEvidenceTTL = discovery.EvidenceTTL(!s.WatchEndpoints, grace).Microseconds()
	}
	return s
}

// listen opens the clients' listener, or takes the predecessor's over. With a management address the port is shared: a
// predecessor whose handover failed may still serve on it.
func (cfg Config) listen(predecessor *handover.Predecessor) (net.Listener, error) {
	if predecessor != nil {
		return predecessor.Listener, nil
	}
	var lc net.ListenConfig
	if cfg.Managed {
		lc.Control = setReusePort
	}
	l, err := lc.Listen(context.Background(), "tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	return l, nil
}

// soReusePort is SO_REUSEPORT, which package syscall does not name on Linux.
const soReusePort = 0xf

func setReusePort(_, _ string, c syscall.RawConn) error {
	var optionErr error
	if err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
	}); err != nil {
		return err
	}
	return optionErr
}
