// Command merlinpick-registry runs a member of the registry, the service that keeps the list of endpoints and
// the services' configurations, and calls a running registry for operators. docs/discovery.md describes how
// to run it.
//
// Exit status: 0, success; 1, the registry rejected the call, or a check failed; 2, wrong usage or
// configuration, or a member that could not start or serve.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"merlinpick/internal/registry/registrar"
)

// Exit statuses.
const (
	exitDone = iota
	exitRejected
	exitUnable
)

type arguments struct {
	LogFormat string `enum:"text,json" default:"text" help:"Log format on standard error: text or json."`
	Verbose   bool   `short:"v" help:"Log raft's own events too."`

	Serve     serveCommand     `cmd:"" help:"Run a member; without a configuration, a cluster of one on 127.0.0.1:8500."`
	Members   membersCommand   `cmd:"" help:"Print each member's status; exit 1 if one does not serve."`
	Endpoints endpointCommands `cmd:"" name:"nodos" help:"List the endpoints, or register, drain and deregister one."`
	Watch     watchCommand     `cmd:"" help:"Print the list, and its changes as they come."`
	Check     checkCommand     `cmd:"" help:"Report all configuration errors, and verify the directory."`
	Snapshot  snapshotCommands `cmd:"" help:"Save the list and configurations to a file, inspect one, or restore one."`
}

// memberAddresses is the flag with the members' API addresses, for commands that call members.
type memberAddresses struct {
	At string `default:"127.0.0.1:8500" env:"ROSTER_AT" help:"The members' API addresses, separated by commas."`
}

func (m memberAddresses) addresses() []string { return strings.Split(m.At, ",") }

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var a arguments
	parser := kong.Must(&a, kong.Name("merlinpick-registry"), kong.Description("The registry: the endpoint list and the services' configurations, replicated by raft."),
		kong.UsageOnError())
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "merlinpick-registry: %v\n", err)
		return exitUnable
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	command.BindTo(ctx, (*context.Context)(nil))
	if err = command.Run(newLogger(a)); err == nil {
		return exitDone
	}
	fmt.Fprintf(os.Stderr, "merlinpick-registry: %v\n", err)
	var rejected *registrar.RejectedError
	if errors.As(err, &rejected) || errors.Is(err, errRejected) {
		return exitRejected
	}
	return exitUnable
}

// errRejected marks a rejected call or a failed check, which exits with status 1.
var errRejected = errors.New("failed")

// newLogger returns the logger that the arguments ask for, on standard error.
func newLogger(a arguments) *slog.Logger {
	options := &slog.HandlerOptions{Level: slog.LevelInfo}
	if a.Verbose {
		options.Level = slog.LevelDebug
	}
	if a.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, options))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, options))
}
