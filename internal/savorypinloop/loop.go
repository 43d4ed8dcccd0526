// Package savorypinloop calls functions periodically.
package savorypinloop

import (
	"context"
	"time"
)

// Every calls f once per interval until ctx ends. The first call comes after one
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
