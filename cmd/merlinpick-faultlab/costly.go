package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"merlinpick/internal/faultlab/costly"
	"merlinpick/internal/faultlab/path"
)

// costlyCommand is the command that plays clients that make a proxy work at full speed beside others.
type costlyCommand struct {
	Kind     []string `help:"Kinds of clients, one play each; all if empty."`
	Clients  int      `help:"Number of such clients." default:"12"`
	Spread   bool     `help:"Each of them has an address of its own; else all clients have the same."`
	Hanging  int      `help:"Number of the nine servers that never answer, so that requests end near their due time." default:"0"`
	Cores    float64  `help:"Processors of the proxy; below 1 it is stopped for the rest of the time." default:"1"`
	MemoryMB int      `name:"memory" help:"Memory limit of the proxy, in MB." default:"64"`
	Sockets  int      `help:"Limit of the proxy's descriptors." default:"384"`
	Proxy    string   `help:"Program to run as the proxy. Default: beside this one, merlinpick-proxy." default:""`
}

// Run plays each kind. The error is exit status 1 if other clients paid for it.
func (c *costlyCommand) Run(ctx context.Context) error {
	command, err := programCommand(c.Proxy, "--proxy", "merlinpick-proxy")
	if err != nil {
		return err
	}
	kinds, err := c.kinds()
	if err != nil {
		return err
	}
	limits, failed := path.Limits{Cores: c.Cores, MemoryMB: c.MemoryMB, Sockets: c.Sockets}, false
	for _, kind := range kinds {
		dir, err := os.MkdirTemp("", "costly-")
		if err != nil {
			return err
		}
		options := costly.Options{Kind: kind, Clients: c.Clients, Spread: c.Spread, Hanging: c.Hanging, Limits: limits, Program: command[0], Dir: dir}
		result, err := costly.Play(ctx, options)
		if err != nil {
			return fmt.Errorf("%w (%s)", err, filepath.Join(dir, "log"))
		}
		fmt.Printf("%s, %d clients: %v\n", kind.Name, c.Clients, result)
		problems := result.Problems(options)
		for _, problem := range problems {
			fmt.Println("  " + problem)
			failed = true
		}
		if len(problems) > 0 {
			fmt.Println("  log: " + filepath.Join(dir, "log"))
		} else if err := os.RemoveAll(dir); err != nil {
			return err
		}
	}
	if failed {
		return exitStatus(exitFailed)
	}
	return nil
}

// kinds returns the kinds to play.
func (c *costlyCommand) kinds() (kinds []costly.Kind, err error) {
	if len(c.Kind) == 0 {
		return costly.Kinds, nil
	}
	for _, name := range c.Kind {
		kind, ok := costly.KindNamed(name)
		if !ok {
			return nil, fmt.Errorf("there is no kind %q of costly clients", name)
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}
