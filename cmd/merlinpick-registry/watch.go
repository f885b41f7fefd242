package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"merlinpick/internal/registry/watch"
)

const (
	longPollTimeout = 20 * time.Second
	retryDelay      = time.Second // before calling the next member
)

type watchCommand struct {
	memberAddresses
	Count int `help:"Exit after this number of printed lines; 0: never." default:"0"`
}

// Run prints the list and then its changes, one JSON object per line.
func (c *watchCommand) Run(ctx context.Context) error {
	addresses, member, query, printed := c.addresses(), 0, "", 0
	for ctx.Err() == nil && (c.Count == 0 || printed < c.Count) {
		url := "http://" + addresses[member%len(addresses)] + "/catalog/members" + query
		text, err := get(ctx, longPollTimeout+callTimeout, url)
		var response watch.Response
		if err == nil {
			err = json.Unmarshal(text, &response)
		}
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			fmt.Fprintf(os.Stderr, "merlinpick-registry: %v\n", err)
			member++
			select {
			case <-time.After(retryDelay):
			case <-ctx.Done():
			}
			continue
		}
		query = fmt.Sprintf("?from=%d&line=%s&hold_ms=%d", response.Version, response.Epoch, longPollTimeout.Milliseconds())
		if response.Snapshot || len(response.Endpoints) > 0 {
			fmt.Print(string(text))
			printed++
		}
	}
	return nil
}
