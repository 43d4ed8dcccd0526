// Package savorypinloop repeats work in intervals.
package savorypinloop

import (
	"context"
	"time"
)

// Every calls f in intervals until ctx ends. The first call is after one
// interval.
func Every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}
