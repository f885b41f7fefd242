package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"merlinpick/internal/faultlab/process"
	"merlinpick/internal/faultlab/run"
	"merlinpick/internal/faultlab/soak"
)

const maxShown = 12 // maximum number of failures that are printed for a seed

// soakCommand is the command that plays experiments drawn from seeds.
type soakCommand struct {
	From  uint64 `help:"First seed." default:"1"`
	Seeds int    `help:"Number of seeds, which are played one after another." default:"10"`
	Out   string `help:"Directory for the experiments and logs of seeds with failures. Default: found/soak-TIME." type:"path"`
	Proxy string `help:"Program to run as the proxy, with arguments. Default: beside this one, merlinpick-proxy." default:""`
	Keep  bool   `help:"Keep the logs of the other seeds too."`
}

// Run plays the seeds. The error is exit status 1 if a rule was broken or a proxy crashed with any of them.
func (c *soakCommand) Run(ctx context.Context, log *slog.Logger) error {
	command, err := programCommand(c.Proxy, "--proxy", "merlinpick-proxy")
	if err != nil {
		return err
	}
	if err := claimOutputDir(&c.Out, "soak", time.Now()); err != nil {
		return err
	}
	defer process.Unlock(c.Out)
	failed, void := 0, 0
	for i := range c.Seeds {
		if ctx.Err() != nil {
			fmt.Printf("interrupted after %d of %d seeds\n", i, c.Seeds)
			break
		}
		found, voidReason, err := c.playSeed(ctx, c.From+uint64(i), command, log)
		switch {
		case err != nil:
			return err
		case len(found) > 0:
			failed++
		case voidReason != "":
			void++
		}
	}
	fmt.Printf("%d seeds with failures, %d void, of %d seeds from %d on\n", failed, void, c.Seeds, c.From)
	if failed > 0 {
		return exitStatus(exitFailed)
	}
	return nil
}

// playSeed plays one seed, and returns the failures that were found and, if the play is void, the reason.
// Failures of a void play are reported too.
func (c *soakCommand) playSeed(ctx context.Context, seed uint64, command []string, log *slog.Logger) (
	found []string, void string, err error) {
	exp, text, err := soak.Draw(seed)
	if err != nil {
		return nil, "", err
	}
	dir := filepath.Join(c.Out, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, "", err
	}
	if err := os.WriteFile(filepath.Join(dir, "experiment.toml"), []byte(text), 0o644); err != nil {
		return nil, "", err
	}
	p, err := run.Play(ctx, exp, seed, run.Options{ProxyCommand: command, OutputDir: dir, Logger: log})
	if err != nil {
		return nil, "", err
	}
	if found, err = soak.Failures(p, dir); err != nil {
		return nil, "", err
	}
	var kinds []string
	for _, f := range exp.Faults {
		kinds = append(kinds, f.Kind)
	}
	fmt.Printf("seed %d: %d proxies, %s: worth in time %.3f, %d failures%s\n", seed, len(exp.ProxyNodes()),
		strings.Join(kinds, " "), p.Metrics["worth_in_time"], len(found), voidNote(p.Void))
	for i, f := range found {
		if i == maxShown {
			fmt.Printf("  and %d more\n", len(found)-i)
			break
		}
		fmt.Println("  " + f)
	}
	if len(found) == 0 && !c.Keep {
		err = os.RemoveAll(dir)
	}
	return found, p.Void, err
}

// voidNote returns the note that a play is void for a reason. It is empty without a reason.
func voidNote(reason string) string {
	if reason == "" {
		return ""
	}
	return " (void: " + reason + ")"
}
