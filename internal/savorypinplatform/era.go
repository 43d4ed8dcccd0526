package savorypinplatform

import (
	"fmt"
	"net/http"
	"sync/atomic"
)

// eraTracker keeps the newest era of the store that a response has named. It is safe
// for concurrent use.
type eraTracker struct {
	// newestPlusOne is the newest era plus one, so that zero means none.
	newestPlusOne atomic.Int64
}

// newest returns the newest era; zero if none was named.
func (e *eraTracker) newest() int64 { return max(0, e.newestPlusOne.Load()-1) }

// observe records the era of a response. It reports whether the era is newer than the
// newest one named before, and whether it is older. The first era is neither.
func (e *eraTracker) observe(era int64) (newer, older bool) {
	for {
		old := e.newestPlusOne.Load()
		if era+1 <= old {
			return false, era+1 < old
		}
		if e.newestPlusOne.CompareAndSwap(old, era+1) {
			return old != 0, false
		}
	}
}

// Era returns the newest era of the store that a response has named; zero if none has.
func (c *Client) Era() int64 { return c.era.newest() }

// responseEra returns the era of a response. A response that names none belongs to the
// newest era. A response of an earlier era was delayed, or comes from a copy that is no
// longer the store, and must not be used: the error then wraps ErrStaleEra and
// ErrUnavailable.
func (c *Client) responseEra(header http.Header) (int64, error) {
	if c.cfg.Dialect.DecodeEra == nil {
		return 0, nil
	}
	era, named, err := c.cfg.Dialect.DecodeEra(header)
	if err != nil {
		return 0, fmt.Errorf("%w: decode era: %w", ErrUnavailable, err)
	}
	if !named {
		return c.era.newest(), nil
	}
	newer, older := c.era.observe(era)
	if older {
		return 0, fmt.Errorf("%w: %w: era %d after era %d", ErrUnavailable, ErrStaleEra, era, c.era.newest())
	}
	if newer {
		c.cfg.OnNewEra(era)
	}
	return era, nil
}
