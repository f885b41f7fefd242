package program

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"slices"

	"merlinpick/internal/config"
	"merlinpick/internal/management"
	"merlinpick/internal/proxy"
	"merlinpick/internal/rollout"
)

// reloads is what another configuration goes to.
type reloadTarget interface {
	Reload(cfg proxy.Config) error
	RecordReload(taken bool)
}

// reloader owns which configuration is in force: the file's, and above its settings the document of the proxy's service,
// if that is followed. Each part that is new, by SIGHUP or from afar, goes one way: read whole, short of nothing that is
// in force, taken by the proxy; with any fault nothing changes. One goroutine, run's, does it.
type reloader struct {
	proxy    reloadTarget
	file     *config.Config  // the file, as last taken
	active   *config.Config  // with the document above it
	document []byte          // nil: none is in force
	rollout  *rollout.Client // nil: none is followed
	env      func(string) string
	log      *slog.Logger
}

// delivery is a document from afar, and where to say what came of it.
type delivery struct {
	document []byte
	result   chan<- error
}

// run takes what comes until the context ends.
func (r *reloader) run(ctx context.Context, hup <-chan os.Signal, told <-chan delivery) {
	for {
		select {
		case <-hup:
			r.reloadFile()
		case d := <-told:
			d.result <- r.above(d.document)
		case <-ctx.Done():
			return
		}
	}
}

// file reads the configuration file again.
func (r *reloader) reloadFile() {
	former := r.file.Proxy.Discovery.Members
	next, err := config.Reload(r.env, r.file)
	if err == nil {
		err = r.apply(next, r.document)
	}
	r.proxy.RecordReload(err == nil)
	if err != nil {
		r.log.Error("reload: the configuration stands as it was", "error", err)
		return
	}
	r.log.Info("reload", "discovery", next.Proxy.Discovery, "classes", r.active.Proxy.Site.Classes, "document_above", r.document != nil)
	if r.rollout != nil {
		r.rollout.RetryRejected() // a document that was refused may fit the file now
		if to := next.Proxy.Discovery.Members; !slices.Equal(to, former) {
			r.rollout.SetMembers(to)
		}
	}
}

// above puts a document above the file.
func (r *reloader) above(document []byte) error { return r.apply(r.file, document) }

func (r *reloader) apply(base *config.Config, document []byte) error {
	next, err := base.WithDocument(document, r.env)
	if err != nil {
		return err
	}
	if fault := next.MissingKey(r.active); fault != nil {
		return fault
	}
	if err := r.proxy.Reload(next.Proxy); err != nil {
		return err
	}
	r.file, r.active, r.document = base, next, document
	return nil
}

// applier has the reloader put documents in force.
type documentApplier struct {
	ctx        context.Context
	deliveries chan<- delivery
}

var errStopping = errors.New("the proxy is at its end")

// Apply implements rollout.Applier.
func (a documentApplier) Apply(_ int64, document []byte) error {
	taken := make(chan error, 1)
	select {
	case a.deliveries <- delivery{document, taken}:
	case <-a.ctx.Done():
		return errStopping
	}
	select {
	case err := <-taken:
		return err
	case <-a.ctx.Done():
		return errStopping
	}
}

// begin makes what follows a configuration, and puts what it kept above the file before anything is served. A file that is
// damaged, or does not fit the configuration file, is told and not used.
func startRollout(ctx context.Context, file *config.Config, env func(string) string, told chan<- delivery, log *slog.Logger) (
	*rollout.Client, *config.Config, []byte) {
	c := rollout.New(rollout.Config{Service: file.Service, ProxyName: file.ProxyName, Members: file.Proxy.Discovery.Members,
		Seed: file.Proxy.Seed, StateDir: file.Proxy.ListCacheDir, Logger: log}, documentApplier{ctx, told})
	if file.Proxy.ListCacheDir == "" {
		return c, file, nil
	}
	kept, err := rollout.LoadCached(file.Proxy.ListCacheDir, file.Service)
	if err != nil {
		log.Error("rollout: the configuration of the last run is not used: the file's counts until a member answers", "error", err)
	}
	if kept == nil {
		return c, file, nil
	}
	next, err := file.WithDocument(kept.Document, env)
	if err == nil {
		if fault := next.MissingKey(file); fault != nil {
			err = fault
		}
	}
	c.SetInitial(kept, err)
	if err != nil {
		log.Error("rollout: the configuration of the last run is refused: the file's counts", "version", kept.Version, "error", err)
		return c, file, nil
	}
	log.Info("rollout: the configuration of the last run is in force", "service", file.Service, "version", kept.Version)
	return c, next, kept.Document
}

// shown is the proxy as its management address shows it.
type managedProxy struct {
	*proxy.Proxy
	rollout *rollout.Client
}

// Figures implements mgmt.Proxy.
func (s managedProxy) Metrics() management.Metrics {
	f := s.Proxy.Metrics()
	if s.rollout != nil {
		r := s.rollout.Metrics()
		f.Rollout = &management.Rollout{Version: r.Version, RejectedVersion: r.RejectedVersion, Age: r.Age, Applied: r.Applied, Failures: r.Failures}
	}
	return f
}
