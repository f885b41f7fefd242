// Command merlinpick-faultlab plays experiments: it runs clusters of real proxies under faults, and checks the results against what the
// experiment expects. docs/lab.md says how to rehearse a failure with it.
//
// Exit status: 0, every expectation held; 1, one did not; 2, bad usage, an invalid file, or a run that this machine could not make
// or that was void.
package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"merlinpick/experiments"
	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/hollow"
	"merlinpick/internal/faultlab/report"
	"merlinpick/internal/faultlab/result"
)

const (
	exitHeld = iota
	exitFailed
	exitUnable
)

type arguments struct {
	LogFormat string `enum:"text,json" default:"text" help:"Form of the log on standard error: text or json."`
	Verbose   bool   `short:"v" help:"Log each fault and restart, not only what is wrong."`

	Run     runCommand     `cmd:"" help:"Play an experiment; exit 0 if every expectation held, 1 if not, 2 if it could not be judged."`
	Soak    soakCommand    `cmd:"" help:"Play experiments drawn from seeds, with troubles that overlap; exit 1 if a rule was broken or a proxy crashed."`
	Check   checkCommand   `cmd:"" help:"Name every fault of an experiment's file, with its place."`
	Report  reportCommand  `cmd:"" help:"Write report.html of a run again, and print its figures."`
	Compare compareCommand `cmd:"" help:"Print the figures of two runs side by side."`
	List    listCommand    `cmd:"" help:"List the experiments that come with the program."`
	Hollow  hollowCommand  `cmd:"" hidden:"" help:"A process of hollow proxies or nodos, which run starts."`
}

type checkCommand struct {
	File string `arg:""`
}

type reportCommand struct {
	Dir string `arg:"" type:"existingdir"`
}

type compareCommand struct {
	A string `arg:"" type:"existingdir"`
	B string `arg:"" type:"existingdir"`
}

type listCommand struct{}

type hollowCommand struct {
	Config string `arg:"" help:"The process's file."`
}

// Run runs the process until the context ends.
func (c *hollowCommand) Run(ctx context.Context, log *slog.Logger) error {
	return hollow.Main(ctx, c.Config, log)
}

// exitStatus is an exit status without a message.
type exitStatus int

// Error names the status.
func (s exitStatus) Error() string { return fmt.Sprintf("exit status %d", int(s)) }

func main() { os.Exit(runProgram(os.Args[1:])) }

func runProgram(args []string) int {
	var a arguments
	parser := kong.Must(&a, kong.Name("merlinpick-faultlab"), kong.Description(
		"Plays fleets of real proxies through failures, and judges what came of it."), kong.UsageOnError())
	cmd, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "merlinpick-faultlab: %v\n", err)
		return exitUnable
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	cmd.BindTo(ctx, (*context.Context)(nil))
	err = cmd.Run(newLog(a))
	var s exitStatus
	switch {
	case err == nil:
		return exitHeld
	case errors.As(err, &s):
		return int(s)
	}
	fmt.Fprintf(os.Stderr, "merlinpick-faultlab: %v\n", err)
	return exitUnable
}

func newLog(a arguments) *slog.Logger {
	level := slog.LevelWarn
	if a.Verbose {
		level = slog.LevelInfo
	}
	o := &slog.HandlerOptions{Level: level}
	if a.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, o))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, o))
}

// openExperiment reads an experiment, from a file or, by its name, one that is built in; file is its path or name.
func openExperiment(name string) (*experiment.Experiment, string, error) {
	exp, err := experiment.Read(name)
	if errors.Is(err, fs.ErrNotExist) {
		own := strings.TrimSuffix(filepath.Base(name), ".toml") + ".toml"
		if text, missing := experiments.Files.ReadFile(own); missing == nil && filepath.Base(name) == name {
			exp, err = experiment.Parse(own, string(text), experiments.Files.ReadFile)
			return exp, own, err
		}
	}
	return exp, name, err
}

// Run prints all problems of the file, or its size.
func (c *checkCommand) Run() error {
	exp, _, err := openExperiment(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d proxies, %d nodos, %d faults, %d expectations, %g s\n", exp.Title, len(exp.ProxyNodes()),
		len(exp.ServerNodes()), len(exp.Faults), len(exp.Expect), exp.Seconds)
	return nil
}

// Run prints names and titles of the built-in experiments.
func (c *listCommand) Run() error {
	files, err := experiments.Files.ReadDir(".")
	if err != nil {
		return err
	}
	for _, f := range files {
		text, err := experiments.Files.ReadFile(f.Name())
		if err != nil {
			return err
		}
		exp, err := experiment.Parse(f.Name(), string(text), experiments.Files.ReadFile)
		if err != nil {
			return err
		}
		fmt.Printf("%-18s %s\n", strings.TrimSuffix(f.Name(), ".toml"), exp.Title)
	}
	return nil
}

// Run prints the run's report and writes its page again.
func (c *reportCommand) Run() error {
	r, err := result.Read(c.Dir)
	if err != nil {
		return err
	}
	if err := report.Text(os.Stdout, r); err != nil {
		return err
	}
	return report.HTML(c.Dir, r)
}

// Run prints the metrics of both runs.
func (c *compareCommand) Run() error {
	a, err := result.Read(c.A)
	if err != nil {
		return err
	}
	b, err := result.Read(c.B)
	if err != nil {
		return err
	}
	return report.Compare(os.Stdout, a, b)
}
