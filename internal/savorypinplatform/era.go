package savorypinplatform

import (
	"fmt"
	"net/http"
	"sync/atomic"
)

// eras knows the newest era of the store that an answer has named. It is safe for
// concurrent use.
type eras struct {
	// named is the newest era, and one more, so that zero means none.
	named atomic.Int64
}

// newest returns the newest era; zero if none was named.
func (e *eras) newest() int64 { return max(0, e.named.Load()-1) }

// note takes note of the era of an answer. It reports whether the era is newer than
// one that was named before, and whether it is older.
func (e *eras) note(era int64) (began, past bool) {
	for {
		old := e.named.Load()
		if era+1 <= old {
			return false, era+1 < old
		}
		if e.named.CompareAndSwap(old, era+1) {
			return old != 0, false
		}
	}
}

// Era returns the newest era of the store that an answer has named; zero if none has.
func (c *Client) Era() int64 { return c.era.newest() }

// eraOf returns the era of an answer. One that names none is taken as of the newest
// era. One of an earlier era was late, or is from a copy that is not the store any
// more, so that nothing may rest on it: the error wraps ErrEra and ErrUnavailable.
func (c *Client) eraOf(header http.Header) (int64, error) {
	if c.cfg.Dialect.DecodeEra == nil {
		return 0, nil
	}
	era, named, err := c.cfg.Dialect.DecodeEra(header)
	if err != nil {
		return 0, fmt.Errorf("%w: era: %w", ErrUnavailable, err)
	}
	if !named {
		return c.era.newest(), nil
	}
	began, past := c.era.note(era)
	if past {
		return 0, fmt.Errorf("%w: %w: %d after %d", ErrUnavailable, ErrEra, era, c.era.newest())
	}
	if began {
		c.cfg.EraBegan(era)
	}
	return era, nil
}
