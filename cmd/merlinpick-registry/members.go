package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"merlinpick/internal/registry/raftnode"
)

type membersCommand struct {
	memberAddresses
	JSON bool `help:"Print one JSON object per line."`
}

// Run prints each member's status. It fails with errRejected if a member does not serve the list.
func (c *membersCommand) Run(ctx context.Context) error {
	notServing := 0
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if !c.JSON {
		fmt.Fprintln(table, "ADDRESS\tNAME\tROLE\tLEADER\tSERVES\tAGE\tINDEX\tNODOS\tHELD")
	}
	for _, address := range c.addresses() {
		var status raftnode.Status
		text, err := get(ctx, callTimeout, "http://"+address+"/v1/member")
		if err == nil {
			err = json.Unmarshal(text, &status)
		}
		if err != nil || !status.Serving {
			notServing++
		}
		switch {
		case c.JSON && err != nil:
			line, _ := json.Marshal(map[string]string{"address": address, "error": err.Error()})
			fmt.Println(string(line))
		case c.JSON:
			fmt.Print(string(text))
		case err != nil:
			fmt.Fprintf(table, "%s\t-\tno answer: %v\n", address, err)
		default:
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%v\t%v\t%d\t%d\t%d\n", address, status.Name, status.Role, status.Leader, status.Serving,
				time.Duration(status.AgeMs)*time.Millisecond, status.Version, status.Endpoints, status.HeldLeases)
		}
	}
	table.Flush()
	if notServing > 0 {
		return fmt.Errorf("%w: %d of %d members do not serve the list", errRejected, notServing, len(c.addresses()))
	}
	return nil
}
