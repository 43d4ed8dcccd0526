package savorypingateway

import (
	"sync/atomic"
	"time"

	"savorypin/internal/savorypinfleet"
)

// view is what the gateway believes. Requests read it without locks; only the
// followers of the store write it.
type view struct {
	configuration atomic.Pointer[savorypinfleet.Configuration]
	// confirmed returns when the configuration was last confirmed, by the
	// boot-time clock; zero for never.
	confirmed func() time.Duration
	directory atomic.Pointer[savorypinfleet.Directory]
	// listed says that the list of endpoints was confirmed once.
	listed atomic.Bool
}

// confirmation returns the age of the last confirmation of the configuration.
func (v *view) confirmation(now time.Duration) (time.Duration, bool) {
	at := v.confirmed()
	if at == 0 {
		return 0, false
	}
	return now - at, true
}

// adopt puts a configuration in force if it is newer than the present one.
func (v *view) adopt(c *savorypinfleet.Configuration) bool {
	for {
		old := v.configuration.Load()
		if old != nil && c.Version() <= old.Version() {
			return false
		}
		if v.configuration.CompareAndSwap(old, c) {
			return true
		}
	}
}
