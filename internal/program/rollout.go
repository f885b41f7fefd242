package program

import (
	"context"
	"errors"
	"log/slog"

	"merlinpick/internal/config"
	"merlinpick/internal/management"
	"merlinpick/internal/proxy"
	"merlinpick/internal/rollout"
)

// documentApplier implements rollout.Applier. It passes documents to the reloader's goroutine.
type documentApplier struct {
	ctx        context.Context
	deliveries chan<- delivery
}

var errStopping = errors.New("document not applied: the proxy is stopping")

// Apply delivers a document to the reloader and returns the result. It returns errStopping if the context
// ends first.
func (a documentApplier) Apply(_ int64, document []byte) error {
	result := make(chan error, 1)
	select {
	case a.deliveries <- delivery{document, result}:
	case <-a.ctx.Done():
		return errStopping
	}
	select {
	case err := <-result:
		return err
	case <-a.ctx.Done():
		return errStopping
	}
}

// startRollout creates the client that follows the service's document at the registry. It also returns the
// configuration to start with, which is the file with the document that a previous process cached merged over
// it, and that document. A cached document that is damaged, or not valid with the file, is logged and not
// used.
func startRollout(ctx context.Context, file *config.Config, env func(string) string, deliveries chan<- delivery,
	log *slog.Logger) (client *rollout.Client, active *config.Config, document []byte) {
	cacheDir := file.Proxy.ListCacheDir
	client = rollout.New(rollout.Config{
		Service: file.Service, ProxyName: file.ProxyName, Members: file.Proxy.Discovery.Members,
		Seed: file.Proxy.Seed, CacheDir: cacheDir, Logger: log,
	}, documentApplier{ctx, deliveries})
	if cacheDir == "" {
		return client, file, nil
	}
	cached, err := rollout.LoadCached(cacheDir, file.Service)
	if err != nil {
		log.Error("cached configuration unreadable", "service", file.Service, "error", err)
	}
	if cached == nil {
		return client, file, nil
	}
	active, err = file.WithDocument(cached.Document, env)
	if err == nil {
		if missing := active.MissingKey(file); missing != nil {
			err = missing
		}
	}
	client.SetInitial(cached, err)
	if err != nil {
		log.Error("cached configuration rejected", "service", file.Service, "version", cached.Version, "error", err)
		return client, file, nil
	}
	log.Info("cached configuration applied", "service", file.Service, "version", cached.Version)
	return client, active, cached.Document
}

// managedProxy is the proxy with the metrics of the process and of the rollout added, as the management API exports
// it.
type managedProxy struct {
	*proxy.Proxy
	rollout *rollout.Client // nil: the proxy follows no service's document
}

// Metrics returns the metrics of the proxy, of the process and of the rollout.
func (p managedProxy) Metrics() management.Metrics {
	metrics := p.Proxy.Metrics()
	countSchedulingDelays(metrics.Events)
	if p.rollout != nil {
		r := p.rollout.Metrics()
		metrics.Rollout = &management.Rollout{Version: r.Version, RejectedVersion: r.RejectedVersion, Age: r.Age,
			Applied: r.Applied, Failures: r.Failures}
	}
	return metrics
}
