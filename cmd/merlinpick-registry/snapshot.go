package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"

	"merlinpick/internal/atomicfile"
	"merlinpick/internal/registry/api"
	"merlinpick/internal/registry/state"
)

type snapshotCommands struct {
	Save    saveSnapshot    `cmd:"" help:"Save the list and configurations to a file."`
	Inspect inspectSnapshot `cmd:"" help:"Check a snapshot file and print a summary of its content."`
	Restore restoreSnapshot `cmd:"" help:"Replace the list by that in a snapshot file, as a new epoch."`
}

type saveSnapshot struct {
	memberAddresses
	File string `arg:"" type:"path"`
}

// Run saves the registry's state to a file. It checks the snapshot before it replaces the file.
func (c *saveSnapshot) Run(ctx context.Context) error {
	text, err := c.getFromAny(ctx, "/v1/snapshot")
	if err != nil {
		return err
	}
	snapshot, err := state.ReadSnapshot(bytes.NewReader(text))
	if err != nil {
		return err
	}
	if err := atomicfile.WriteFile(c.File, text); err != nil {
		return fmt.Errorf("save %s: %w", c.File, err)
	}
	fmt.Printf("%s: version %d of epoch %s, %d nodos\n", c.File, snapshot.Version, snapshot.Epoch,
		len(snapshot.Records))
	return nil
}

// readSnapshot reads and checks a snapshot file. It returns the file's bytes too.
func readSnapshot(path string) ([]byte, state.Snapshot, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, state.Snapshot{}, err
	}
	snapshot, err := state.ReadSnapshot(bytes.NewReader(text))
	if err != nil {
		return nil, snapshot, fmt.Errorf("%w: %s: %w", errRejected, path, err)
	}
	return text, snapshot, nil
}

type inspectSnapshot struct {
	File      string `arg:"" type:"path"`
	Endpoints bool   `name:"nodos" help:"Print the endpoints too, one JSON object per line."`
}

// Run checks a snapshot file and prints a summary of its content.
func (c *inspectSnapshot) Run() error {
	_, snapshot, err := readSnapshot(c.File)
	if err != nil {
		return err
	}
	zones := map[string]int{}
	for _, r := range snapshot.Records {
		zones[r.Zone]++
	}
	fmt.Printf("%s: intact; version %d of epoch %s, %d nodos, by zone %v, %d deregistered instances\n",
		c.File, snapshot.Version, snapshot.Epoch, len(snapshot.Records), zones, len(snapshot.EndedInstances))
	if c.Endpoints {
		for _, r := range snapshot.Records {
			line, _ := json.Marshal(r)
			fmt.Println(string(line))
		}
	}
	return nil
}

type restoreSnapshot struct {
	memberAddresses
	File string `arg:"" type:"path"`
	Yes  bool   `help:"Confirm that the endpoints in the list are replaced; needed unless the list is empty."`
}

// Run replaces the registry's state by that of a file. It calls the members one after another until one
// accepts it.
func (c *restoreSnapshot) Run(ctx context.Context) error {
	text, snapshot, err := readSnapshot(c.File)
	if err != nil {
		return err
	}
	current, err := c.endpoints(ctx)
	if err != nil {
		return err
	}
	if len(current) > 0 && !c.Yes {
		return fmt.Errorf("%w: the list has %d nodos, and the file has %d; use --yes to replace the list",
			errRejected, len(current), len(snapshot.Records))
	}
	var errs []error
	for _, address := range c.addresses() {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/restore", bytes.NewReader(text))
		if err != nil {
			return err
		}
		answer, err := do(request)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		var restored api.Restored
		if err := json.Unmarshal(answer, &restored); err != nil {
			return err
		}
		fmt.Printf("restored: %d nodos, version %d of the new epoch %s; each nodo's lease was restarted\n",
			restored.Endpoints, restored.Version, restored.Epoch)
		return nil
	}
	return errors.Join(errs...)
}
