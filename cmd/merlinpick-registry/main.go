// Command merlinpick-registry is the list service: a member of it, and the calls that operators make. docs/discovery.md says how it is
// run.
//
// Exit status: 0, done; 1, the service said no, or something checked is at fault; 2, bad usage or configuration, or a
// member that could not start or serve.
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
	exitNo
	exitUnable
)

type arguments struct {
	LogFormat string `enum:"text,json" default:"text" help:"Form of the log on standard error: text or json."`
	Verbose   bool   `short:"v" help:"Log what the consensus does by itself."`

	Serve    serveCommand    `cmd:"" help:"Run a member; with no configuration an only one on 127.0.0.1:8500."`
	Members  membersCommand  `cmd:"" help:"Print how each member is; exit 1 if one is not well."`
	Nodos    nodosCommands   `cmd:"" help:"List the nodos, or register, drain and deregister one."`
	Watch    watchCommand    `cmd:"" help:"Print changes of the list as they come."`
	Check    checkCommand    `cmd:"" help:"Name every fault of a configuration, and read all that its directory holds."`
	Snapshot snapshotCommand `cmd:"" help:"Save the list to a file, look at one, or put one in the list's place."`
}

// service is the addresses of the list, for commands that call it.
type service struct {
	At string `default:"127.0.0.1:8500" env:"ROSTER_AT" help:"The members' addresses, with commas between."`
}

func (s service) addrs() []string { return strings.Split(s.At, ",") }

func main() { os.Exit(realMain(os.Args[1:])) }

func realMain(args []string) int {
	var a arguments
	parser := kong.Must(&a, kong.Name("merlinpick-registry"), kong.Description("The list of nodos, kept by several members."),
		kong.UsageOnError())
	cmd, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "merlinpick-registry: %v\n", err)
		return exitUnable
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	cmd.BindTo(ctx, (*context.Context)(nil))
	err = cmd.Run(newLog(a))
	var no *registrar.RejectedError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &no), errors.Is(err, errNo):
		fmt.Fprintf(os.Stderr, "merlinpick-registry: %v\n", err)
		return exitNo
	}
	fmt.Fprintf(os.Stderr, "merlinpick-registry: %v\n", err)
	return exitUnable
}

// errNo is a no that is the command's answer.
var errNo = errors.New("no")

func newLog(a arguments) *slog.Logger {
	o := &slog.HandlerOptions{Level: slog.LevelInfo}
	if a.Verbose {
		o.Level = slog.LevelDebug
	}
	if a.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, o))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, o))
}
