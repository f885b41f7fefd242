// Command merlinpick-registry runs a member of the registry, the service that keeps the list of endpoints and the services'
// configurations, and makes the calls of operators. docs/discovery.md says how to run it.
//
// Exit status: 0, done; 1, the registry rejected the call, or what was checked is at fault; 2, bad usage or configuration,
// or a member that could not start or serve.
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

const (
	exitDone = iota
	exitRejected
	exitUnable
)

type arguments struct {
	LogFormat string `enum:"text,json" default:"text" help:"Form of the log on standard error: text or json."`
	Verbose   bool   `short:"v" help:"Log raft's own events too."`

	Serve     serveCommand     `cmd:"" help:"Run a member; without a configuration, a cluster of one on 127.0.0.1:8500."`
	Members   membersCommand   `cmd:"" help:"Print each member's status; exit 1 if one does not serve the list."`
	Endpoints endpointCommands `cmd:"" name:"nodos" help:"List the endpoints, or register, drain and deregister one."`
	Watch     watchCommand     `cmd:"" help:"Print the list, and its changes as they come."`
	Check     checkCommand     `cmd:"" help:"Name every fault of a configuration, and verify all that its directory holds."`
	Snapshot  snapshotCommands `cmd:"" help:"Save the list and configurations to a file, inspect one, or restore one."`
}

// memberAddresses are the members' API addresses, for commands that call them.
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

// errRejected marks an error that is the answer to the command: exit status 1.
var errRejected = errors.New("no")

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
