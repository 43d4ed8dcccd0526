package savorypinroute

import (
	"sync"
	"time"
)

// LinkPurpose says what bytes on a link between regions are for.
type LinkPurpose string

// The purposes of bytes on a link, the first of which goes before the others.
const (
	// LinkControl is for heartbeats, configuration and limits.
	LinkControl LinkPurpose = "control"
	// LinkResume is for work that goes on after delivered tokens.
	LinkResume LinkPurpose = "resume"
	// LinkSpill is for new work that another region takes over.
	LinkSpill LinkPurpose = "spill"
)

// Shares of a full link budget that less urgent purposes leave untouched.
const (
	// controlReserve is left for control by resumes.
	controlReserve = 0.2
	// resumeReserve is left for resumes and control by spill.
	resumeReserve = 0.5
)

// linkBurst is how much of the rate can be saved up.
const linkBurst = 2 * time.Second

// Link is the budget of bytes that this daemon may send between regions. It is
// a token bucket that purposes may draw down to different levels: spill stops
// while resumes still pass, and resumes stop while control still passes.
type Link struct {
	mu    sync.Mutex
	at    time.Time
	level float64
	rate  float64
}

// NewLink returns a full budget with a rate in bytes a second.
func NewLink(rate float64, now time.Time) *Link {
	return &Link{at: now, level: rate * linkBurst.Seconds(), rate: rate}
}

// SetRate changes the rate, in bytes a second.
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

// Charge takes bytes that are sent. It may leave a debt.
func (l *Link) Charge(bytes int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	l.level -= float64(bytes)
}

// GiveBack returns bytes that were taken and not sent; a negative number takes
// bytes that were sent beyond those taken.
func (l *Link) GiveBack(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.level = min(l.level+float64(bytes), l.rate*linkBurst.Seconds())
}

func (l *Link) refill(now time.Time) {
	if now.After(l.at) {
		l.level = min(l.level+l.rate*now.Sub(l.at).Seconds(), l.rate*linkBurst.Seconds())
		l.at = now
	}
}

func reserve(purpose LinkPurpose) float64 {
	if purpose == LinkResume {
		return controlReserve
	}
	return resumeReserve
}
