package discovery

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"
)

const (
	watchHold    = 10 * time.Second        // how long a watch may wait for news
	listPatience = 3 * time.Second         // for an answer that need not wait
	watchSlack   = 1500 * time.Millisecond // beyond a watch's wait: its news counts as told 2 s after that
	retryFirst   = 50 * time.Millisecond   // after a failed call
	retryMost    = 500 * time.Millisecond  // at most
)

// watch watches at one address until the context ends. With wait, the first call awaits the module's word, as
// it does after each call that failed if there is a subscription. The next watch follows its answer at once, lest changes in between
// count as told late. After a call that failed in a way that leaves the version in doubt, it begins with
// the full list.
func (c *Client) watch(ctx context.Context, subscribe, wait bool) {
	index, pause := int64(-1), retryFirst
	for subscribed := !wait; ctx.Err() == nil; {
		if subscribe && !subscribed {
			select {
			case <-c.asked:
			case <-ctx.Done():
				return
			}
		}
		list, err := c.call(ctx, index)
		if ctx.Err() != nil {
			return
		}
		if err == nil && !list.Full && list.Index < index {
			err = fmt.Errorf("version went back from %d to %d", index, list.Index)
		}
		if err != nil {
			c.log.Warn("discovery", "error", err)
			if !errors.Is(err, errBusy) {
				index = -1
			}
			subscribed = false
			if subscribe {
				c.tell(ctx, News{}) // the module says when to ask again
				continue
			}
			c.wait(ctx, pause)
			pause = min(2*pause, retryMost)
			continue
		}
		index, pause, subscribed = list.Index, retryFirst, true
		c.tell(ctx, News{list})
	}
}

// call asks for what is newer than index, or for the whole list if that is negative.
func (c *Client) call(ctx context.Context, index int64) (*List, error) {
	u, patience := "http://"+c.at.Address+"/catalog/members", listPatience
	if index >= 0 {
		u += "?from=" + strconv.FormatInt(index, 10) + "&hold_ms=" + strconv.FormatInt(watchHold.Milliseconds(), 10)
		patience = watchHold + watchSlack
	}
	return c.get(ctx, u, patience)
}
