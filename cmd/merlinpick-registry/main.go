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
	Verbose   bool   `short:"v" help:"Log what the consensus does by itself."`

	Serve     serveCommand     `cmd:"" help:"Run a member; with no configuration an only one on 127.0.0.1:8500."`
	Members   membersCommand   `cmd:"" help:"Print how each member is; exit 1 if one is not well."`
	Endpoints endpointCommands `cmd:"" name:"nodos" help:"List the nodos, or register, drain and deregister one."`
	Watch     watchCommand     `cmd:"" help:"Print changes of the list as they come."`
	Check     checkCommand     `cmd:"" help:"Name every fault of a configuration, and read all that its directory holds."`
	Snapshot  snapshotCommands `cmd:"" help:"Save the list to a file, look at one, or put one in the list's place."`
}

// memberAddresses are the members' API addresses, for commands that call them.
type memberAddresses struct {
	At string `default:"127.0.0.1:8500" env:"ROSTER_AT" help:"The members' addresses, with commas between."`
}

func (m memberAddresses) addresses() []string { return strings.Split(m.At, ",") }

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var a arguments
	parser := kong.Must(&a, kong.Name("merlinpick-registry"), kong.Description("The list of nodos, kept by several members."),
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
