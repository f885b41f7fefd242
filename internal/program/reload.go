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
type reloads interface {
	Reload(cfg proxy.Config) error
	RecordReload(taken bool)
}

// reloader owns which configuration is in force: the file's, and above its settings the document of the proxy's service,
// if that is followed. Each part that is new, by SIGHUP or from afar, goes one way: read whole, short of nothing that is
// in force, taken by the proxy; with any fault nothing changes. One goroutine, run's, does it.
type reloader struct {
	p        reloads
	base     *config.Config  // the file, as last taken
	inForce  *config.Config  // with the document above it
	document []byte          // nil: none is in force
	follow   *rollout.Client // nil: none is followed
	env      func(string) string
	log      *slog.Logger
}

// delivery is a document from afar, and where to say what came of it.
type delivery struct {
	document []byte
	taken    chan<- error
}

// run takes what comes until the context ends.
func (r *reloader) run(ctx context.Context, hup <-chan os.Signal, told <-chan delivery) {
	for {
		select {
		case <-hup:
			r.file()
		case d := <-told:
			d.taken <- r.above(d.document)
		case <-ctx.Done():
			return
		}
	}
}

// file reads the configuration file again.
func (r *reloader) file() {
	former := r.base.Proxy.Discovery.Members
	next, err := config.Reload(r.env, r.base)
	if err == nil {
		err = r.put(next, r.document)
	}
	r.p.RecordReload(err == nil)
	if err != nil {
		r.log.Error("reload: the configuration stands as it was", "error", err)
		return
	}
	r.log.Info("reload", "discovery", next.Proxy.Discovery, "classes", r.inForce.Proxy.Site.Classes, "document_above", r.document != nil)
	if r.follow != nil {
		r.follow.RetryRejected() // a document that was refused may fit the file now
		if to := next.Proxy.Discovery.Members; !slices.Equal(to, former) {
			r.follow.SetMembers(to)
		}
	}
}

// above puts a document above the file.
func (r *reloader) above(document []byte) error { return r.put(r.base, document) }

func (r *reloader) put(base *config.Config, document []byte) error {
	next, err := base.WithDocument(document, r.env)
	if err != nil {
		return err
	}
	if fault := next.MissingKey(r.inForce); fault != nil {
		return fault
	}
	if err := r.p.Reload(next.Proxy); err != nil {
		return err
	}
	r.base, r.inForce, r.document = base, next, document
	return nil
}

// applier has the reloader put documents in force.
type applier struct {
	ctx  context.Context
	told chan<- delivery
}

var errEnds = errors.New("the proxy is at its end")

// Apply implements rollout.Applier.
func (a applier) Apply(_ int64, document []byte) error {
	taken := make(chan error, 1)
	select {
	case a.told <- delivery{document, taken}:
	case <-a.ctx.Done():
		return errEnds
	}
	select {
	case err := <-taken:
		return err
	case <-a.ctx.Done():
		return errEnds
	}
}

// begin makes what follows a configuration, and puts what it kept above the file before anything is served. A file that is
// damaged, or does not fit the configuration file, is told and not used.
func begin(ctx context.Context, file *config.Config, env func(string) string, told chan<- delivery, log *slog.Logger) (
	*rollout.Client, *config.Config, []byte) {
	c := rollout.New(rollout.Config{Service: file.Service, ProxyName: file.ProxyName, Members: file.Proxy.Discovery.Members,
		Seed: file.Proxy.Seed, StateDir: file.Proxy.ListCacheDir, Logger: log}, applier{ctx, told})
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
type shown struct {
	*proxy.Proxy
	follow *rollout.Client
}

// Figures implements mgmt.Proxy.
func (s shown) Metrics() management.Metrics {
	f := s.Proxy.Metrics()
	if s.follow != nil {
		r := s.follow.Metrics()
		f.Rollout = &management.Rollout{Version: r.Version, RejectedVersion: r.RejectedVersion, Age: r.Age, Applied: r.Applied, Failures: r.Failures}
	}
	return f
}
