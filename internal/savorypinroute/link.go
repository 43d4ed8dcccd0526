package savorypinroute

import (
	"sync"
	"time"
)

// LinkPurpose is the purpose of bytes on a link between regions.
type LinkPurpose string

// The purposes of bytes on a link, by descending priority.
const (
	// LinkControl is for heartbeats, configuration and limits.
	LinkControl LinkPurpose = "control"
	// LinkResume is for requests that continue after delivered tokens.
	LinkResume LinkPurpose = "resume"
	// LinkSpill is for new requests that are sent to another region.
	LinkSpill LinkPurpose = "spill"
)

// Fractions of a full link budget that are reserved for purposes of higher
// priority.
const (
	// controlReserve is reserved for control and not available to resumes.
	controlReserve = 0.2
	// resumeReserve is reserved for resumes and control and not available to spill.
	resumeReserve = 0.5
)

// linkBurst is the time over which an unused budget accumulates its rate.
const linkBurst = 2 * time.Second

// Link is the budget of bytes that this daemon may send between regions. It is a
// token bucket with a reserve for each purpose: as the level falls, it first
// refuses spill, then resumes, and never control.
type Link struct {
	mu         sync.Mutex
	refilledAt time.Time
	level      float64
	rate       float64
}

// NewLink returns a full budget with a rate in bytes per second.
func NewLink(rate float64, now time.Time) *Link {
	return &Link{refilledAt: now, level: rate * linkBurst.Seconds(), rate: rate}
}

// SetRate changes the rate, in bytes per second.
func (l *Link) SetRate(rate float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	l.rate = rate
	l.level = min(l.level, rate*linkBurst.Seconds())
}

// Allows reports whether bytes may be sent for a purpose now.
func (l *Link) Allows(purpose LinkPurpose, bytes int, now time.Time) bool {
	if purpose == LinkControl {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	return l.level-float64(bytes) >= l.rate*linkBurst.Seconds()*reserve(purpose)
}

// Charge takes bytes from the budget. The level may become negative.
func (l *Link) Charge(bytes int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	l.level -= float64(bytes)
}

// Refund returns bytes to the budget that were charged and not sent; a negative
// number charges bytes that were sent beyond the charge.
func (l *Link) Refund(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.level = min(l.level+float64(bytes), l.rate*linkBurst.Seconds())
}

func (l *Link) refill(now time.Time) {
	if now.After(l.refilledAt) {
		l.level = min(l.level+l.rate*now.Sub(l.refilledAt).Seconds(), l.rate*linkBurst.Seconds())
		l.refilledAt = now
	}
}

// reserve returns the fraction of a full budget that a purpose must leave unused.
func reserve(purpose LinkPurpose) float64 {
	if purpose == LinkResume {
		return controlReserve
	}
	return resumeReserve
}
