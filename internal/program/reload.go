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

// reloadTarget is the part of the proxy that the reloader uses.
type reloadTarget interface {
	Reload(cfg proxy.Config) error
	RecordReload(applied bool)
}

// reloader owns the active configuration: the configuration file with, if the proxy follows a service at the
// registry, the settings of the service's document merged over it. A new file (on SIGHUP) or document is read
// completely, must have every key of the active configuration, and is then applied by the proxy. After an
// error nothing has changed. Once run has started, only its goroutine may use the reloader.
type reloader struct {
	proxy    reloadTarget
	file     *config.Config  // the configuration file, as last applied
	active   *config.Config  // file with document merged over it
	document []byte          // active document; nil: none
	rollout  *rollout.Client // nil: the proxy follows no service's document
	env      func(string) string
	log      *slog.Logger
}

// delivery is a received document, and the channel on which the result of applying it is sent.
type delivery struct {
	document []byte
	result   chan<- error
}

// run applies the file after each SIGHUP and each delivered document, until the context ends.
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

// reloadFile reads the configuration file again, and applies it with the active document merged over it.
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
		r.rollout.RetryRejected() // a rejected document may be valid with the new file
		if members := file.Proxy.Discovery.Members; !slices.Equal(members, previousMembers) {
			r.rollout.SetMembers(members)
		}
	}
}

// apply makes a file, with a document merged over it, the active configuration. After an error nothing has
// changed.
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
