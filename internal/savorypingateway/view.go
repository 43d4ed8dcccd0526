package savorypingateway

import (
	"sync/atomic"
	"time"

	"savorypin/internal/savorypinfleet"
)

// view is the state that requests are served by. Requests read it without locks; only the
// goroutines that follow the store write it.
type view struct {
	configuration atomic.Pointer[savorypinfleet.Configuration]
	// confirmed returns the boot-clock time of the last confirmation of the configuration;
	// zero if it never was confirmed.
	confirmed func() time.Duration
	directory atomic.Pointer[savorypinfleet.Directory]
	// listed is set once the list of endpoints has been confirmed.
	listed atomic.Bool
}

// confirmationAge returns the time since the configuration was last confirmed, given the
// boot-clock time now. It returns false if it never was.
func (v *view) confirmationAge(now time.Duration) (time.Duration, bool) {
	at := v.confirmed()
	if at == 0 {
		return 0, false
	}
	return now - at, true
}

// adopt puts a configuration in force if it is newer than the current one.
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
