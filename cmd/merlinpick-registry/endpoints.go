package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"merlinpick/internal/registry/api"
	"merlinpick/internal/registry/registrar"
	"merlinpick/internal/registry/state"
)

type endpointCommands struct {
	List       listEndpoints      `cmd:"" default:"withargs" help:"Print the endpoints."`
	Register   registerEndpoint   `cmd:"" help:"Register an endpoint; with --keep renew its lease until the command ends."`
	Drain      drainEndpoint      `cmd:"" help:"Drain an endpoint: it gets no new requests."`
	Deregister deregisterEndpoint `cmd:"" help:"Remove an endpoint from the list."`
}

type listEndpoints struct {
	memberAddresses
	JSON bool `help:"Print one JSON object per line."`
}

// Run prints the endpoints.
func (c *listEndpoints) Run(ctx context.Context) error {
	all, err := c.endpoints(ctx)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if !c.JSON {
		fmt.Fprintln(table, "NAME\tADDRESS\tZONE\tTYPE\tGROUP\tSTATUS\tWEIGHT\tINSTANCE\tLEASE LEFT")
	}
	for _, e := range all {
		if c.JSON {
			line, _ := json.Marshal(e)
			fmt.Println(string(line))
			continue
		}
		left := "-"
		if e.LeaseLeftMs != nil {
			left = (time.Duration(*e.LeaseLeftMs) * time.Millisecond).String()
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%g\t%s\t%s\n", e.Name, e.Address, e.Zone, e.Type, e.Cell, e.Status, e.Weight,
			e.Instance, left)
	}
	return table.Flush()
}

type registerEndpoint struct {
	memberAddresses
	Name     string        `arg:""`
	Address  string        `arg:"" help:"HOST:PORT"`
	Zone     string        `default:"a"`
	Type     string        `default:"nodo"`
	Cell     int           `name:"group" default:"0"`
	Weight   float64       `default:"1"`
	Instance string        `help:"ID of the process; each start needs a new one. Default: random."`
	Since    int64         `name:"since-ms" help:"Unix time of the process's start, in ms. Default: now."`
	Lease    time.Duration `default:"10s"`
	Keep     bool          `help:"Renew the lease, and deregister when the command ends."`
}

// Run registers an endpoint, and with Keep renews its lease until ctx ends.
func (c *registerEndpoint) Run(ctx context.Context) error {
	record := c.record()
	client := registrar.New(c.addresses())
	printAccepted := func(accepted api.Accepted) {
		fmt.Printf("%s is in the list from version %d on, instance %s, lease %v\n", c.Name, accepted.Version,
			record.Instance, c.Lease)
	}
	if !c.Keep {
		once, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		accepted, err := client.Register(once, record)
		if err == nil {
			printAccepted(accepted)
		}
		return err
	}
	if err := client.KeepRegistered(ctx, record, printAccepted); !errors.Is(err, context.Canceled) {
		return err
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	_, err := client.Deregister(last, state.InstanceRef{Name: record.Name, Instance: record.Instance})
	return err
}

// record returns the endpoint to register. Instance and Since get their defaults.
func (c *registerEndpoint) record() state.Record {
	record := state.Record{Endpoint: state.Endpoint{Name: c.Name, Address: c.Address, Zone: c.Zone, Type: c.Type, Cell: c.Cell,
		Status: state.StatusServing, Weight: c.Weight, StartedAtMs: c.Since}, Instance: c.Instance, LeaseMs: c.Lease.Milliseconds()}
	if record.Instance == "" {
		random := make([]byte, 8)
		_, _ = rand.Read(random) // crypto/rand never returns an error
		record.Instance = hex.EncodeToString(random)
	}
	if record.StartedAtMs == 0 {
		record.StartedAtMs = time.Now().UnixMilli()
	}
	return record
}

// endpointInstance holds the arguments that identify the endpoint that a command is about.
type endpointInstance struct {
	memberAddresses
	Name     string `arg:""`
	Instance string `help:"ID of the endpoint's process. Default: the one in the list."`
}

// ref returns the endpoint's name and instance. If no instance is given, it reads it from the list.
func (c *endpointInstance) ref(ctx context.Context) (state.InstanceRef, error) {
	ref := state.InstanceRef{Name: c.Name, Instance: c.Instance}
	if ref.Instance != "" {
		return ref, nil
	}
	all, err := c.endpoints(ctx)
	if err != nil {
		return ref, err
	}
	for _, e := range all {
		if e.Name == c.Name {
			ref.Instance = e.Instance
			return ref, nil
		}
	}
	return ref, fmt.Errorf("%w: %s is not in the list", errRejected, c.Name)
}

// call calls the registry about the endpoint and prints the endpoint's new status.
func (c *endpointInstance) call(ctx context.Context,
	call func(*registrar.Client, context.Context, state.InstanceRef) (api.Accepted, error)) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ref, err := c.ref(ctx)
	if err != nil {
		return err
	}
	accepted, err := call(registrar.New(c.addresses()), ctx, ref)
	if err == nil {
		fmt.Printf("%s is %s from version %d on\n", c.Name, accepted.Status, accepted.Version)
	}
	return err
}

type drainEndpoint struct{ endpointInstance }

// Run drains an endpoint: it gets no new requests.
func (c *drainEndpoint) Run(ctx context.Context) error {
	return c.call(ctx, (*registrar.Client).Drain)
}

type deregisterEndpoint struct{ endpointInstance }

// Run removes an endpoint from the list.
func (c *deregisterEndpoint) Run(ctx context.Context) error {
	return c.call(ctx, (*registrar.Client).Deregister)
}
