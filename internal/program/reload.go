package program

import (
	"context"
	"log/slog"
	"os"
	"slices"

	"merlinpick/internal/config"
	"merlinpick/internal/proxy"
	"merlinpick/internal/rollout"
)

// reloadTarget is the proxy as the reloader uses it.
type reloadTarget interface {
	Reload(cfg proxy.Config) error
	RecordReload(applied bool)
}

// reloader owns the active configuration: the file's, with the settings of the service's document merged over it if the
// proxy follows one. A new file (SIGHUP) or document is read completely, must lack no key that is in force, and is then
// applied by the proxy; after any error nothing has changed. Only run's goroutine uses it once that has started.
type reloader struct {
	proxy    reloadTarget
	file     *config.Config  // as last applied
	active   *config.Config  // the file with the document merged over it
	document []byte          // nil: none is in force
	rollout  *rollout.Client // nil: no document is followed
	env      func(string) string
	log      *slog.Logger
}

// delivery is a document that was received, and the channel for its result.
type delivery struct {
	document []byte
	result   chan<- error
}

// run applies files and documents until the context ends.
func (r *reloader) run(ctx context.Context, hangups <-chan os.Signal, deliveries <-chan delivery) {
	for {
		select {
		case <-hangups:
			r.reloadFile()
		case d := <-deliveries:
			d.result <- r.apply(r.file, d.document)
		case <-ctx.Done():
			return
		}
	}
}

// reloadFile reads the configuration file again.
func (r *reloader) reloadFile() {
	previousMembers := r.file.Proxy.Discovery.Members
	file, err := config.Reload(r.env, r.file)
	if err == nil {
		err = r.apply(file, r.document)
	}
	r.proxy.RecordReload(err == nil)
	if err != nil {
		r.log.Error("configuration reload rejected", "error", err)
		return
	}
	r.log.Info("settings and discovery reloaded", "discovery", file.Proxy.Discovery, "classes", r.active.Proxy.Site.Classes,
		"with_document", r.document != nil)
	if r.rollout != nil {
		r.rollout.RetryRejected() // the document may fit the new file
		if members := file.Proxy.Discovery.Members; !slices.Equal(members, previousMembers) {
			r.rollout.SetMembers(members)
		}
	}
}

// apply puts a file with a document in force, or changes nothing.
func (r *reloader) apply(file *config.Config, document []byte) error {
	next, err := file.WithDocument(document, r.env)
	if err != nil {
		return err
	}
	if missing := next.MissingKey(r.active); missing != nil {
		return missing
	}
	if err := r.proxy.Reload(next.Proxy); err != nil {
		return err
	}
	r.file, r.active, r.document = file, next, document
	return nil
}
