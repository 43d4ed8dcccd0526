package savorypinadmission

import (
	"time"

	"savorypin/internal/savorypinfleet"
)

// Hold is why an endpoint gets no new requests, or not all of them.
type Hold string

// The reasons.
const (
	HoldNone Hold = ""
	// HoldPaused means that the endpoint asked for a pause.
	HoldPaused Hold = "paused"
	// HoldRamp means that the share of the endpoint grows after a pause.
	HoldRamp Hold = "share grows after a pause"
	// HoldRelisted means that the endpoint had been removed and was listed again by a store that was
	// restored from an older copy.
	HoldRelisted Hold = "listed again by a restored store"
	// HoldStopping means that the endpoint announced that it is stopping, or was listed as draining.
	HoldStopping Hold = "stopping"
)

// hold returns why an endpoint gets no new requests, or not all of them.
func (r *Registry) hold(rec record, now time.Time) Hold {
	ramp, elapsed := rec.ramp(now)
	switch {
	case now.Before(rec.pausedUntil):
		return HoldPaused
	case !rec.relistedAt.IsZero() && now.Sub(rec.relistedAt) < r.cfg.EntryTimeout:
		return HoldRelisted
	case !rec.stoppingAt.IsZero(), !rec.drainedAt.IsZero():
		return HoldStopping
	case ramp > 0 && elapsed < ramp:
		return HoldRamp
	}
	return HoldNone
}

// Hold returns why an endpoint gets no new requests, or not all of them, and the rest of the pause
// that it asked for.
func (r *Registry) Hold(e *savorypinfleet.Endpoint) (Hold, time.Duration) {
	now := r.cfg.Now()
	rec := r.recordOf(e)
	return r.hold(rec, now), max(0, rec.pausedUntil.Sub(now))
}
