// Command fleetlab plays experiments: whole fleets of real proxies, faults between them, and a verdict. docs/lab.md
// says how to rehearse a failure with it.
//
// Exit status: 0, every expectation held; 1, one did not; 2, bad usage, a bad file, or a machine on which the run could
// not be made or came out void.
package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"fernlanding/experiments"
	"fernlanding/internal/lab/experiment"
	"fernlanding/internal/lab/process"
	"fernlanding/internal/lab/report"
	"fernlanding/internal/lab/result"
	"fernlanding/internal/lab/run"
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
	Check   checkCommand   `cmd:"" help:"Name every fault of an experiment's file, with its place."`
	Report  reportCommand  `cmd:"" help:"Write report.html of a run again, and print its figures."`
	Compare compareCommand `cmd:"" help:"Print the figures of two runs side by side."`
	List    listCommand    `cmd:"" help:"List the experiments that come with the program."`
}

type runCommand struct {
	File   string  `arg:"" help:"The experiment's file, or the name of one that comes with the program."`
	Out    string  `help:"Directory for result.json, report.html and logs. Default: found/NAME-TIME." type:"path"`
	Seed   *uint64 `help:"In place of the file's."`
	Repeat int     `help:"Plays, in place of the file's."`
	Proxy  string  `help:"Program to run as the proxy, with arguments." default:""`
	Roster string  `help:"Program to run as a member of the list service." default:""`
	Tries  int     `help:"How often a void play is played again." default:"1"`
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

// status is an exit status that is no error of the program's.
type status int

func (s status) Error() string { return fmt.Sprintf("exit status %d", int(s)) }

func main() { os.Exit(realMain(os.Args[1:])) }

func realMain(args []string) int {
	var a arguments
	parser := kong.Must(&a, kong.Name("fleetlab"), kong.Description(
		"Plays fleets of real proxies through failures, and judges what came of it."), kong.UsageOnError())
	cmd, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "fleetlab: %v\n", err)
		return exitUnable
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	cmd.BindTo(ctx, (*context.Context)(nil))
	err = cmd.Run(newLog(a))
	var s status
	switch {
	case err == nil:
		return exitHeld
	case errors.As(err, &s):
		return int(s)
	}
	fmt.Fprintf(os.Stderr, "fleetlab: %v\n", err)
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

// open reads an experiment: a file, or one of the program's own by its name.
func open(name string) (*experiment.Experiment, string, error) {
	e, err := experiment.Read(name)
	if errors.Is(err, fs.ErrNotExist) {
		own := strings.TrimSuffix(filepath.Base(name), ".toml") + ".toml"
		if text, missing := experiments.Files.ReadFile(own); missing == nil && filepath.Base(name) == name {
			e, err = experiment.Parse(own, string(text), experiments.Files.ReadFile)
			return e, own, err
		}
	}
	return e, name, err
}

func (c *checkCommand) Run() error {
	e, _, err := open(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d proxies, %d nodos, %d faults, %d expectations, %g s\n", e.Title, len(e.ProxyNodes()),
		len(e.NodoNodes()), len(e.Faults), len(e.Expect), e.Seconds)
	return nil
}

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
		e, err := experiment.Parse(f.Name(), string(text), experiments.Files.ReadFile)
		if err != nil {
			return err
		}
		fmt.Printf("%-18s %s\n", strings.TrimSuffix(f.Name(), ".toml"), e.Title)
	}
	return nil
}

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

// program is a program to run: as told, or one beside this.
func program(told, flag, name string) ([]string, error) {
	if words := strings.Fields(told); len(words) > 0 {
		return words, nil
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(filepath.Dir(self), name)
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("no %s to run: %w; build it beside this program, or name one with %s", name, err, flag)
	}
	return []string{path}, nil
}

func (c *runCommand) Run(ctx context.Context, log *slog.Logger) error {
	e, file, err := open(c.File)
	if err != nil {
		return err
	}
	o := run.Options{Log: log}
	if o.Command, err = program(c.Proxy, "--proxy", "fernlanding"); err != nil {
		return err
	}
	if e.List.Members > 0 {
		if o.Roster, err = program(c.Roster, "--roster", "roster"); err != nil {
			return err
		}
	}
	seed, repeat := e.Seed, e.Repeat
	if c.Seed != nil {
		seed = *c.Seed
	}
	if c.Repeat > 0 {
		repeat = c.Repeat
	}
	began := time.Now()
	if c.Out == "" {
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		c.Out = filepath.Join("found", name+"-"+began.Format("20060102T150405"))
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	if err := process.Hold(c.Out); err != nil {
		return err
	}
	defer process.Release(c.Out)
	r := &result.Result{Title: e.Title, File: file, Version: version(o.Command[0]), Began: began.UTC(),
		Machine: result.Machine{Cores: run.Cores(), LoadBefore: run.MachineLoad()}}
	for i := range repeat {
		if err := c.play(ctx, e, r, seed+uint64(i), o); err != nil {
			return err
		}
		if ctx.Err() != nil {
			r.Partial = fmt.Sprintf("interrupted in play %d of %d", i+1, repeat)
			break
		}
	}
	r.Machine.LoadAfter = run.MachineLoad()
	r.Conclude(e)
	if err := errors.Join(r.Write(c.Out), report.HTML(c.Out, r), report.Text(os.Stdout, r)); err != nil {
		return err
	}
	fmt.Printf("%s: result.json, report.html, logs/\n", c.Out)
	return verdict(r)
}

func verdict(r *result.Result) error {
	switch {
	case r.Partial != "":
		fmt.Printf("partial: %s; nothing is judged\n", r.Partial)
		return status(exitUnable)
	case r.Void() != "":
		fmt.Printf("void: %s\n", r.Void())
		return status(exitUnable)
	case !r.Held:
		return status(exitFailed)
	}
	return nil
}

// play plays one seed, again while it comes out void and there are tries left.
func (c *runCommand) play(ctx context.Context, e *experiment.Experiment, r *result.Result, seed uint64,
	o run.Options) error {
	for try := 0; ; try++ {
		fmt.Fprintf(os.Stderr, "seed %d: starting %d proxies\n", seed, len(e.ProxyNodes()))
		o.Out, o.Progress = c.Out, func(at, of time.Duration, p run.Progress) {
			fmt.Fprintf(os.Stderr, "seed %d: %4.0f of %.0f s, %d arrivals, the newest %v late\n", seed, at.Seconds(),
				of.Seconds(), p.Arrived, p.Late.Round(10*time.Microsecond))
		}
		p, err := run.Play(ctx, e, seed, o)
		if err != nil && ctx.Err() == nil {
			return err
		}
		if p.Figures != nil {
			r.Plays = append(r.Plays, p)
		}
		if p.Void == "" || try >= c.Tries || ctx.Err() != nil {
			return nil
		}
		fmt.Fprintf(os.Stderr, "seed %d: void: %s; played again\n", seed, p.Void)
	}
}

// version tells builds of the program under test apart: a digest of its file.
func version(command string) string {
	text, err := os.ReadFile(command)
	if err != nil {
		return "unknown"
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:6])
}
