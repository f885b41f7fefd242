package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"merlinpick/internal/atomicfile"
	"merlinpick/internal/registry/api"
	"merlinpick/internal/registry/raftnode"
	"merlinpick/internal/registry/registrar"
	"merlinpick/internal/registry/state"
	"merlinpick/internal/registry/watch"
)

const (
	callWait  = 5 * time.Second
	watchHold = 20 * time.Second
	againWait = time.Second
)

var client = &http.Client{}

// get asks one member.
func get(ctx context.Context, wait time.Duration, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return do(req)
}

func do(req *http.Request) ([]byte, error) {
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, state.MaxSnapshotBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %w: %s", req.URL.Host, errNo, api.ReadError(resp, text).Error)
	}
	return text, nil
}

// any asks the members in turn until one answers.
func (s service) any(ctx context.Context, path string) ([]byte, error) {
	var errs []error
	for _, at := range s.addrs() {
		text, err := get(ctx, callWait, "http://"+at+path)
		if err == nil {
			return text, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}

type membersCommand struct {
	service
	JSON bool `help:"One object a line."`
}

// Run prints how each member is.
func (c *membersCommand) Run(ctx context.Context) error {
	ill := 0
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if !c.JSON {
		fmt.Fprintln(w, "ADDRESS\tNAME\tROLE\tLEADER\tSERVES\tAGE\tINDEX\tNODOS\tHELD")
	}
	for _, at := range c.addrs() {
		var s raftnode.Status
		text, err := get(ctx, callWait, "http://"+at+"/v1/member")
		if err == nil {
			err = json.Unmarshal(text, &s)
		}
		if err != nil || !s.Serving {
			ill++
		}
		switch {
		case c.JSON && err != nil:
			line, _ := json.Marshal(map[string]string{"address": at, "error": err.Error()})
			fmt.Println(string(line))
		case c.JSON:
			fmt.Print(string(text))
		case err != nil:
			fmt.Fprintf(w, "%s\t-\tno answer: %v\n", at, err)
		default:
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%v\t%d\t%d\t%d\n", at, s.Name, s.Role, s.Leader, s.Serving,
				time.Duration(s.AgeMs)*time.Millisecond, s.Version, s.Endpoints, s.HeldLeases)
		}
	}
	w.Flush()
	if ill > 0 {
		return fmt.Errorf("%w: %d of %d members do not serve the list", errNo, ill, len(c.addrs()))
	}
	return nil
}

type nodosCommands struct {
	List       nodosList       `cmd:"" default:"withargs" help:"Print the nodos."`
	Register   nodosRegister   `cmd:"" help:"Register a nodo; with --keep renew its lease until the command is ended."`
	Drain      nodosDrain      `cmd:"" help:"Have a nodo get nothing new."`
	Deregister nodosDeregister `cmd:"" help:"Take a nodo out of the list."`
}

type nodosList struct {
	service
	JSON bool `help:"One object a line."`
}

// Run prints the nodos.
func (c *nodosList) Run(ctx context.Context) error {
	all, err := c.nodos(ctx)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if !c.JSON {
		fmt.Fprintln(w, "NAME\tADDRESS\tZONE\tTYPE\tGROUP\tSTATUS\tWEIGHT\tINSTANCE\tLEASE LEFT")
	}
	for _, n := range all {
		if c.JSON {
			line, _ := json.Marshal(n)
			fmt.Println(string(line))
			continue
		}
		left := "-"
		if n.LeaseLeftMs != nil {
			left = (time.Duration(*n.LeaseLeftMs) * time.Millisecond).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%g\t%s\t%s\n", n.Name, n.Address, n.Zone, n.Type, n.Cell, n.Status, n.Weight,
			n.Instance, left)
	}
	return w.Flush()
}

func (s service) nodos(ctx context.Context) (all []raftnode.EndpointStatus, err error) {
	text, err := s.any(ctx, "/v1/nodos")
	if err == nil {
		err = json.Unmarshal(text, &all)
	}
	return all, err
}

type nodosRegister struct {
	service
	Name     string        `arg:""`
	Address  string        `arg:"" help:"HOST:PORT"`
	Zone     string        `default:"a"`
	Type     string        `default:"nodo"`
	Group    int           `default:"0"`
	Weight   float64       `default:"1"`
	Instance string        `help:"One word for each start of its process. Default: a random one."`
	Since    int64         `name:"since-ms" help:"Unix time of its start, in ms. Default: now."`
	Lease    time.Duration `default:"10s"`
	Keep     bool          `help:"Renew the lease, and deregister at the end."`
}

// Run registers a nodo.
func (c *nodosRegister) Run(ctx context.Context) error {
	if c.Instance == "" {
		b := make([]byte, 8)
		_, _ = rand.Read(b)
		c.Instance = hex.EncodeToString(b)
	}
	if c.Since == 0 {
		c.Since = time.Now().UnixMilli()
	}
	r := state.Record{Endpoint: state.Endpoint{Name: c.Name, Address: c.Address, Zone: c.Zone, Type: c.Type, Cell: c.Group,
		Status: state.StatusServing, Weight: c.Weight, StartedAtMs: c.Since}, Instance: c.Instance, LeaseMs: c.Lease.Milliseconds()}
	client := registrar.New(c.addrs())
	tell := func(t api.Accepted) {
		fmt.Printf("%s is in the list from version %d on, instance %s, for %v\n", c.Name, t.Version, c.Instance, c.Lease)
	}
	if !c.Keep {
		once, cancel := context.WithTimeout(ctx, callWait)
		defer cancel()
		t, err := client.Register(once, r)
		if err == nil {
			tell(t)
		}
		return err
	}
	if err := client.KeepRegistered(ctx, r, tell); !errors.Is(err, context.Canceled) {
		return err
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), callWait)
	defer cancel()
	_, err := client.Deregister(last, state.InstanceRef{Name: c.Name, Instance: c.Instance})
	return err
}

// one is a nodo that a command speaks of.
type one struct {
	service
	Name     string `arg:""`
	Instance string `help:"Default: the one that is in the list now."`
}

func (c *one) ref(ctx context.Context) (state.InstanceRef, error) {
	ref := state.InstanceRef{Name: c.Name, Instance: c.Instance}
	if ref.Instance != "" {
		return ref, nil
	}
	all, err := c.nodos(ctx)
	if err != nil {
		return ref, err
	}
	for _, n := range all {
		if n.Name == c.Name {
			ref.Instance = n.Instance
			return ref, nil
		}
	}
	return ref, fmt.Errorf("%w: %s is not in the list", errNo, c.Name)
}

func (c *one) say(ctx context.Context, call func(*registrar.Client, context.Context, state.InstanceRef) (api.Accepted, error)) error {
	ctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	ref, err := c.ref(ctx)
	if err != nil {
		return err
	}
	t, err := call(registrar.New(c.addrs()), ctx, ref)
	if err == nil {
		fmt.Printf("%s is %s from version %d on\n", c.Name, t.Status, t.Version)
	}
	return err
}

type nodosDrain struct{ one }

// Run has a nodo get nothing new.
func (c *nodosDrain) Run(ctx context.Context) error {
	return c.say(ctx, (*registrar.Client).Drain)
}

type nodosDeregister struct{ one }

// Run takes a nodo out of the list.
func (c *nodosDeregister) Run(ctx context.Context) error {
	return c.say(ctx, (*registrar.Client).Deregister)
}

type watchCommand struct {
	service
	Count int `help:"End after so many answers; 0: never." default:"0"`
}

// Run prints the list and then what changes, one object a line.
func (c *watchCommand) Run(ctx context.Context) error {
	at, query, seen := 0, "", 0
	for ctx.Err() == nil && (c.Count == 0 || seen < c.Count) {
		addrs := c.addrs()
		text, err := get(ctx, watchHold+callWait, "http://"+addrs[at%len(addrs)]+"/catalog/members"+query)
		var head watch.Response
		if err == nil {
			err = json.Unmarshal(text, &head)
		}
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			fmt.Fprintf(os.Stderr, "merlinpick-registry: %v\n", err)
			at++
			select {
			case <-time.After(againWait):
			case <-ctx.Done():
			}
			continue
		}
		query = fmt.Sprintf("?from=%d&line=%s&hold_ms=%d", head.Version, head.Epoch, watchHold.Milliseconds())
		if head.Snapshot || len(head.Endpoints) > 0 {
			fmt.Print(string(text))
			seen++
		}
	}
	return nil
}

type snapshotCommand struct {
	Save    snapshotSave    `cmd:"" help:"Save the list to a file."`
	Inspect snapshotInspect `cmd:"" help:"Check a file and print what it holds."`
	Restore snapshotRestore `cmd:"" help:"Put a file in the list's place, as a new line of versions."`
}

type snapshotSave struct {
	service
	File string `arg:"" type:"path"`
}

// Run saves the list. What came over the network is checked before it takes a file's place.
func (c *snapshotSave) Run(ctx context.Context) error {
	text, err := c.any(ctx, "/v1/snapshot")
	if err != nil {
		return err
	}
	i, err := state.ReadSnapshot(bytes.NewReader(text))
	if err != nil {
		return err
	}
	if err := atomicfile.WriteFile(c.File, text); err != nil {
		return fmt.Errorf("save %s: %w", c.File, err)
	}
	fmt.Printf("%s: version %d of line %s, %d nodos\n", c.File, i.Version, i.Epoch, len(i.Records))
	return nil
}

func readSnapshot(path string) ([]byte, state.Snapshot, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, state.Snapshot{}, err
	}
	i, err := state.ReadSnapshot(bytes.NewReader(text))
	if err != nil {
		return nil, i, fmt.Errorf("%w: %s: %w", errNo, path, err)
	}
	return text, i, nil
}

type snapshotInspect struct {
	File  string `arg:"" type:"path"`
	Nodos bool   `help:"Print the nodos too, one object a line."`
}

// Run checks a file.
func (c *snapshotInspect) Run() error {
	_, i, err := readSnapshot(c.File)
	if err != nil {
		return err
	}
	zones := map[string]int{}
	for _, r := range i.Records {
		zones[r.Zone]++
	}
	fmt.Printf("%s: whole; version %d of line %s, %d nodos, by zone %v, %d ended instances\n", c.File, i.Version, i.Epoch,
		len(i.Records), zones, len(i.EndedInstances))
	if c.Nodos {
		for _, r := range i.Records {
			line, _ := json.Marshal(r)
			fmt.Println(string(line))
		}
	}
	return nil
}

type snapshotRestore struct {
	service
	File string `arg:"" type:"path"`
	Yes  bool   `help:"Needed if the list has nodos now: they are replaced."`
}

// Run puts a file in the list's place.
func (c *snapshotRestore) Run(ctx context.Context) error {
	text, i, err := readSnapshot(c.File)
	if err != nil {
		return err
	}
	now, err := c.nodos(ctx)
	if err != nil {
		return err
	}
	if len(now) > 0 && !c.Yes {
		return fmt.Errorf("%w: the list has %d nodos, the file %d: --yes replaces them", errNo, len(now), len(i.Records))
	}
	var errs []error
	for _, at := range c.addrs() {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+"/v1/restore", strings.NewReader(string(text)))
		if err != nil {
			return err
		}
		answer, err := do(req)
		if err == nil {
			var r api.Restored
			if err := json.Unmarshal(answer, &r); err != nil {
				return err
			}
			fmt.Printf("restored: %d nodos, version %d of the new line %s; each nodo's lease runs afresh\n", r.Endpoints, r.Version,
				r.Epoch)
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
