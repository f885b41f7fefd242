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

// ErrStopped is returned once the proxy has stopped: it can no longer be reconfigured or hand over to a
// successor.
var ErrStopped = errors.New("proxy: this process has stopped serving")

// DescriptorLimitError reports that the process may open too few files to work as a proxy.
type DescriptorLimitError struct {
	Limit             int // of open files for the process
	Clients, Backends int // connections that the limit leaves for each side
}

func (e *DescriptorLimitError) Error() string {
	return fmt.Sprintf(
		"proxy: limit of %d open files leaves %d client and %d backend connections, each needs %d: raise it",
		e.Limit, e.Clients, e.Backends, minConns)
}

// Config holds what a proxy needs to start.
type Config struct {
	Listen         string // address for clients
	Discovery      discovery.Source
	Seed           uint64          // of the random choices of the balancer and the discovery client
	MaxDescriptors int             // files that the process may hold open
	InitialList    *discovery.List // from the configuration, for a process without a predecessor; may be nil
	// ListCacheDir is the directory that caches the latest list, if Discovery has members; empty: none.
	ListCacheDir string
	StateDir     string // directory for state that outlives the process; used if Managed
	// Managed states that there is a management address: metrics are updated and descriptors reserved for it.
	Managed bool
	Site    *settings.Site
	Logger  *slog.Logger

	Cluster *ClusterPlan // nil for a proxy without a cluster

	MemoryBytes int // memory limit of the proxy; 0: not known

	// SetHeapLimit sets the soft limit of the process's heap in bytes; may be nil. It is called at the start and
	// whenever another process of the proxy starts or ends, if the memory limit is known.
	SetHeapLimit func(bytes int64)
}

// balancerSettings returns the balancer's part of the settings, and sets in them for how long an endpoint
// list is evidence that a server is listed. A list from the registry remains evidence until the next one
// arrives.
func (cfg Config) balancerSettings() balancer.Settings {
	s := cfg.Site.Balancer
	if len(cfg.Discovery.Members) == 0 {
		grace := time.Duration(s.DrainGrace) * time.Microsecond
		s.MembershipEvidenceTTL = discovery.EvidenceTTL(!s.WatchEndpoints, grace).Microseconds()
	}
	return s
}

// listen opens the listener for clients, or takes over the predecessor's. With a management address it sets
// SO_REUSEPORT, since a predecessor whose handover failed may still serve on the port.
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

// soReusePort is SO_REUSEPORT, which package syscall does not define on Linux.
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
