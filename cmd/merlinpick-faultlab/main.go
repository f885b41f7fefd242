// Command merlinpick-faultlab plays experiments: it runs clusters of real proxies under faults, and checks
// the results against the expectations of the experiment. docs/lab.md describes how to reproduce a failure
// with it.
//
// The exit status is 0 if every expectation held, 1 if one did not, and 2 for wrong usage, an invalid file,
// or a run that was void or that this machine could not make.
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

// Exit statuses.
const (
	exitHeld   = iota // success; of a run, every expectation held
	exitFailed        // an expectation did not hold, or a soak found a failure
	exitUnable        // there is no verdict
)

// arguments is the command line.
type arguments struct {
	LogFormat string `enum:"text,json" default:"text" help:"Log format on standard error: text or json."`
	Verbose   bool   `short:"v" help:"Log every fault and restart, not only problems."`

	Run     runCommand     `cmd:"" help:"Play an experiment; exit 0 if every expectation held, 1 if not, 2 without a verdict."`
	Soak    soakCommand    `cmd:"" help:"Play experiments drawn from seeds, with overlapping faults; exit 1 after a broken rule or a crash."`
	Costly  costlyCommand  `cmd:"" help:"Play clients that make a proxy work at full speed beside others; exit 1 if the others pay for it."`
	Check   checkCommand   `cmd:"" help:"Report every error in an experiment file, with its line and key."`
	Report  reportCommand  `cmd:"" help:"Write report.html of a run again, and print its figures."`
	Compare compareCommand `cmd:"" help:"Print the figures of two runs side by side."`
	List    listCommand    `cmd:"" help:"List the experiments that come with the program."`
	Hollow  hollowCommand  `cmd:"" hidden:"" help:"Run a process of hollow proxies or nodos; the run command starts these processes."`
}

// checkCommand is the command that checks an experiment file.
type checkCommand struct {
	File string `arg:""`
}

// reportCommand is the command that shows the result of a run.
type reportCommand struct {
	Dir string `arg:"" type:"existingdir"`
}

// compareCommand is the command that compares the results of two runs.
type compareCommand struct {
	A string `arg:"" type:"existingdir"`
	B string `arg:"" type:"existingdir"`
}

// listCommand is the command that lists the built-in experiments.
type listCommand struct{}

// hollowCommand is the hidden command that runs a process of hollow proxies or servers.
type hollowCommand struct {
	Config string `arg:"" help:"Configuration file of the process."`
}

// Run runs a process of hollow proxies or servers until the context ends.
func (c *hollowCommand) Run(ctx context.Context, log *slog.Logger) error {
	return hollow.Main(ctx, c.Config, log)
}

// exitStatus is an error that ends the program with an exit status and without a message.
type exitStatus int

// Error returns a text with the exit status.
func (s exitStatus) Error() string { return fmt.Sprintf("exit status %d", int(s)) }

func main() { os.Exit(runProgram(os.Args[1:])) }

// runProgram runs the program with the given arguments and returns its exit status.
func runProgram(args []string) int {
	var a arguments
	parser := kong.Must(&a, kong.Name("merlinpick-faultlab"), kong.Description(
		"Runs fleets of real proxies under faults, and checks the results against expectations."),
		kong.UsageOnError())
	cmd, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "merlinpick-faultlab: %v\n", err)
		return exitUnable
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	cmd.BindTo(ctx, (*context.Context)(nil))
	err = cmd.Run(newLog(a))
	var status exitStatus
	switch {
	case err == nil:
		return exitHeld
	case errors.As(err, &status):
		return int(status)
	}
	fmt.Fprintf(os.Stderr, "merlinpick-faultlab: %v\n", err)
	return exitUnable
}

// newLog returns the logger that the arguments select.
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

// openExperiment reads an experiment from a file or, if there is no such file, the built-in experiment of
// that name. It also returns the path or name of the file that it read.
func openExperiment(name string) (*experiment.Experiment, string, error) {
	exp, err := experiment.Read(name)
	if errors.Is(err, fs.ErrNotExist) {
		builtIn := strings.TrimSuffix(filepath.Base(name), ".toml") + ".toml"
		if text, readErr := experiments.Files.ReadFile(builtIn); readErr == nil &&
			filepath.Base(name) == name {
			exp, err = experiment.Parse(builtIn, string(text), experiments.Files.ReadFile)
			return exp, builtIn, err
		}
	}
	return exp, name, err
}

// Run prints the size of the experiment, or returns all problems of the file.
func (c *checkCommand) Run() error {
	exp, _, err := openExperiment(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d proxies, %d nodos, %d faults, %d expectations, %g s\n", exp.Title, len(exp.ProxyNodes()),
		len(exp.ServerNodes()), len(exp.Faults), len(exp.Expect), exp.Seconds)
	return nil
}

// Run prints the names and titles of the built-in experiments.
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

// Run prints the run's metrics and writes its HTML page again.
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

// Run prints the metrics of both runs with their differences.
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
