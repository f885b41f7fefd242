// Package sleep provides a sleep that ends early with its context.
package sleep

import (
	"context"
	"time"
)

// For sleeps for d, which may be zero or negative. It returns false if the context ended first.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
