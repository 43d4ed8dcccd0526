package savorypingateway

import (
	"sync/atomic"
	"time"

	"savorypin/internal/savorypinfleet"
)

// view is the state that requests are served by. Requests read it without locks; only the
// goroutines that follow the store write it.
type view struct {
	directory atomic.Pointer[savorypinfleet.Directory]
	// listed is set once a confirmed list of endpoints is in force.
	listed atomic.Bool
	// current is nil until there is a configuration.
	current atomic.Pointer[snapshot]
}

// snapshot is a configuration with the time of its confirmation. It is never changed, so that a
// request which reads it once is served by a configuration that is as current as it finds it.
type snapshot struct {
	configuration *savorypinfleet.Configuration
	// confirmedAt is the boot-clock time at which the configuration, or one that it replaced, was
	// last known to be the store's; zero if it never was.
	confirmedAt time.Duration
}

// confirmationAge returns the time since the configuration was last confirmed, given the
// boot-clock time now. It returns false if it never was, or if there is no configuration.
func (s *snapshot) confirmationAge(now time.Duration) (time.Duration, bool) {
	if s == nil || s.confirmedAt == 0 {
		return 0, false
	}
	return now - s.confirmedAt, true
}

// configuration returns the configuration in force; nil if there is none.
func (v *view) configuration() *savorypinfleet.Configuration {
	if s := v.current.Load(); s != nil {
		return s.configuration
	}
	return nil
}

// adopt puts a configuration in force if it is newer than the current one. It counts as confirmed
// when the current one was: it contains the changes that the store had then.
func (v *view) adopt(c *savorypinfleet.Configuration) bool {
	for {
		old := v.current.Load()
		next := &snapshot{configuration: c}
		if old != nil {
			if c.Version() <= old.configuration.Version() {
				return false
			}
			next.confirmedAt = old.confirmedAt
		}
		if v.current.CompareAndSwap(old, next) {
			return true
		}
	}
}

// confirm records that the configuration in force was the store's at a boot-clock time.
func (v *view) confirm(at time.Duration) {
	for {
		old := v.current.Load()
		if old == nil || at <= old.confirmedAt {
			return
		}
		if v.current.CompareAndSwap(old, &snapshot{configuration: old.configuration, confirmedAt: at}) {
			return
		}
	}
}
