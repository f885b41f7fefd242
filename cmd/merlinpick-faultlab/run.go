package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/process"
	"merlinpick/internal/faultlab/report"
	"merlinpick/internal/faultlab/result"
	"merlinpick/internal/faultlab/run"
)

// runCommand is the command that plays an experiment.
type runCommand struct {
	File   string  `arg:"" help:"Experiment file, or the name of an experiment that comes with the program."`
	Out    string  `help:"Directory for result.json, report.html and logs. Default: found/NAME-TIME." type:"path"`
	Seed   *uint64 `help:"Seed of the first play, in place of the file's."`
	Repeat int     `help:"Number of plays, in place of the file's."`
	Proxy  string  `help:"Program to run as the proxy, with arguments. Default: beside this one, merlinpick-proxy, or merlinpick-cluster-proxy with the fleet on." default:""`
	Roster string  `help:"Program to run as a member of the list service." default:""`
	Hollow string  `help:"Program to run as a process of hollow proxies or nodos, given its configuration file." hidden:"" default:""`
	Tries  int     `help:"How often a void play is repeated." default:"1"`
	Both   bool    `help:"Play each seed with the fleet off and on, in turn, into OUT/off and OUT/on, and print the figures side by side. The exit status is that of on."`
}

// programCommand returns the command of a program: the one given by a flag, or the program of a name in the
// directory of this one.
func programCommand(given, flag, name string) ([]string, error) {
	if words := strings.Fields(given); len(words) > 0 {
		return words, nil
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(filepath.Dir(self), name)
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("program %s not found: %w; build it beside this program, or give one with %s",
			name, err, flag)
	}
	return []string{path}, nil
}

// variant is a variant of the experiment in which a run plays each seed, with its result.
type variant struct {
	dir        string // output directory
	experiment *experiment.Experiment
	command    []string // of a proxy
	*result.Result
}

// variants returns the variants of a run: the experiment as it is, or with the cluster off and on.
func (c *runCommand) variants(exp *experiment.Experiment) ([]variant, error) {
	out := []variant{{experiment: exp}}
	if c.Both {
		off, on := *exp, *exp
		off.Cluster.Enabled, on.Cluster.Enabled = false, true
		out = []variant{{dir: "off", experiment: &off}, {dir: "on", experiment: &on}}
	}
	for i := range out {
		name := "merlinpick-proxy"
		if out[i].experiment.Cluster.Enabled {
			name = "merlinpick-cluster-proxy"
		}
		var err error
		if out[i].command, err = programCommand(c.Proxy, "--proxy", name); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// Run plays the seeds, writes the results and prints them. The error is the exit status if an expectation did
// not hold or there is no verdict.
func (c *runCommand) Run(ctx context.Context, log *slog.Logger) error {
	exp, file, err := openExperiment(c.File)
	if err != nil {
		return err
	}
	variants, err := c.variants(exp)
	if err != nil {
		return err
	}
	options, err := c.options(exp, log)
	if err != nil {
		return err
	}
	started := time.Now()
	if err := claimOutputDir(&c.Out, strings.TrimSuffix(filepath.Base(file), ".toml"), started); err != nil {
		return err
	}
	defer process.Unlock(c.Out)
	for i := range variants {
		v := &variants[i]
		v.dir = filepath.Join(c.Out, v.dir)
		v.Result = &result.Result{Title: exp.Title, File: file, Version: programDigest(v.command[0]),
			StartedAt: started.UTC(),
			Machine:   result.Machine{Cores: run.Cores(), LoadBefore: run.MachineLoad()}}
	}
	if err := c.playSeeds(ctx, exp, variants, options); err != nil {
		return err
	}
	return c.reportResults(variants)
}

// options returns the run's options, with the commands that the experiment needs.
func (c *runCommand) options(exp *experiment.Experiment, log *slog.Logger) (run.Options, error) {
	options := run.Options{Logger: log}
	if exp.List.Members > 0 {
		var err error
		if options.RegistryCommand, err = programCommand(c.Roster, "--roster", "merlinpick-registry"); err != nil {
			return options, err
		}
	}
	if exp.Hollow.Enabled() {
		self, err := os.Executable()
		if err != nil {
			return options, err
		}
		if options.HollowCommand = strings.Fields(c.Hollow); len(options.HollowCommand) == 0 {
			options.HollowCommand = []string{self, "hollow"}
		}
	}
	return options, nil
}

// playSeeds plays each seed in all variants. The order of the variants alternates, so that a drift of the
// machine's speed affects all alike.
func (c *runCommand) playSeeds(ctx context.Context, exp *experiment.Experiment, variants []variant, options run.Options) error {
	seed, repeat := exp.Seed, exp.Repeat
	if c.Seed != nil {
		seed = *c.Seed
	}
	if c.Repeat > 0 {
		repeat = c.Repeat
	}
	for i := range repeat {
		for j := range variants {
			if err := c.play(ctx, variants[(i+j)%len(variants)], seed+uint64(i), options); err != nil {
				return err
			}
		}
		if ctx.Err() != nil {
			for _, v := range variants {
				v.Partial = fmt.Sprintf("interrupted in play %d of %d", i+1, repeat)
			}
			break
		}
	}
	return nil
}

// reportResults writes and prints the results of the variants. The error is the exit status of the last
// variant, or of the first one if that has no verdict.
func (c *runCommand) reportResults(variants []variant) error {
	for _, v := range variants {
		v.Machine.LoadAfter = run.MachineLoad()
		v.Conclude(v.experiment)
		if err := errors.Join(v.Write(v.dir), report.HTML(v.dir, v.Result), report.Text(os.Stdout, v.Result)); err != nil {
			return err
		}
		fmt.Printf("%s: result.json, report.html, logs/\n", v.dir)
	}
	if c.Both {
		fmt.Println("\nA: the fleet off; B: on")
		if err := report.Compare(os.Stdout, variants[0].Result, variants[1].Result); err != nil {
			return err
		}
		if off := verdictError(variants[0].Result); errors.Is(off, exitStatus(exitUnable)) {
			return off
		}
	}
	return verdictError(variants[len(variants)-1].Result)
}

// claimOutputDir creates and locks the output directory of a run. If none was given, its name has the
// experiment and the time. The caller unlocks it.
func claimOutputDir(out *string, name string, at time.Time) error {
	if *out == "" {
		*out = filepath.Join("found", name+"-"+at.Format("20060102T150405"))
	}
	if err := os.MkdirAll(*out, 0o755); err != nil {
		return err
	}
	return process.Lock(*out)
}

// verdictError prints why a run has no verdict, and returns its exit status; nil if every expectation held.
func verdictError(r *result.Result) error {
	switch {
	case r.Partial != "":
		fmt.Printf("partial: %s; there is no verdict\n", r.Partial)
		return exitStatus(exitUnable)
	case r.VoidReason() != "":
		fmt.Printf("void: %s\n", r.VoidReason())
		return exitStatus(exitUnable)
	case !r.Held:
		return exitStatus(exitFailed)
	}
	return nil
}

// play plays one seed in a variant. It repeats a void play up to Tries times.
func (c *runCommand) play(ctx context.Context, v variant, seed uint64, options run.Options) error {
	label := fmt.Sprintf("seed %d", seed)
	if c.Both {
		label += ", fleet " + filepath.Base(v.dir)
	}
	for attempt := 0; ; attempt++ {
		fmt.Fprintf(os.Stderr, "%s: starting %d proxies\n", label, len(v.experiment.ProxyNodes()))
		options.OutputDir, options.ProxyCommand, options.Progress = v.dir, v.command, func(
			at, of time.Duration, p run.Progress) {
			fmt.Fprintf(os.Stderr, "%s: %4.0f of %.0f s, %d arrivals, the latest one %v late\n", label,
				at.Seconds(), of.Seconds(), p.Arrived, p.Lateness.Round(10*time.Microsecond))
		}
		p, err := run.Play(ctx, v.experiment, seed, options)
		if err != nil && ctx.Err() == nil {
			return err
		}
		if p.Metrics != nil {
			v.Plays = append(v.Plays, p)
		}
		if p.Void == "" || attempt >= c.Tries || ctx.Err() != nil {
			return nil
		}
		fmt.Fprintf(os.Stderr, "%s: void: %s; the play is repeated\n", label, p.Void)
	}
}

// programDigest returns a digest of a program's file, which identifies the build under test.
func programDigest(command string) string {
	text, err := os.ReadFile(command)
	if err != nil {
		return "unknown"
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:6])
}
