package savorypinqueue

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant with which starts lose weight: load and capacity change
	// within seconds.
	rateWindow = 5 * time.Second
	// minStarts is the weight of the starts from which their rate says how long others wait.
	minStarts = 4
)

// startRate is the rate of starts of some priorities while one of them waits. Without that condition
// it would be the rate of the demand where that is lower than the capacity.
type startRate struct {
	// busy is the time in seconds in which one waited, and starts the number of starts meanwhile;
	// both decay.
	busy, starts float64
}

func (r *startRate) advance(keep, busy float64) {
	r.starts *= keep
	r.busy = r.busy*keep + busy
}

// wait returns the time in which a number of items start. It returns false if too few have started
// lately.
func (r *startRate) wait(items int) (time.Duration, bool) {
	if r.starts < minStarts {
		return 0, false
	}
	return seconds(float64(items) * r.busy / r.starts), true
}

// startRates holds the rates that the expected waits come from. A wait is the longest of those that
// they give: only the rate of an item's own tier, or priority, shows how many start before it that
// come later, and only that of all shows how many are before it now.
type startRates struct {
	advancedAt time.Time
	// byTier and byPriority count the starts of a tier and of a priority, and orMoreUrgent those of a
	// priority and of more urgent ones.
	byTier                   [tiers]startRate
	byPriority, orMoreUrgent [priorities]startRate
}

// advance lets the rates decay up to now. It is called before each change of the line.
func (r *startRates) advance(now time.Time, l *line) {
	if r.advancedAt.IsZero() || now.Before(r.advancedAt) {
		// If the clock was set back, time goes on from there.
		r.advancedAt = now
	}
	passed := now.Sub(r.advancedAt)
	if passed == 0 {
		return
	}
	r.advancedAt = now
	keep := math.Exp(-passed.Seconds() / rateWindow.Seconds())
	waited := (1 - keep) * rateWindow.Seconds()
	// busy returns the time in which one waited.
	busy := func(waits bool) float64 {
		if waits {
			return waited
		}
		return 0
	}
	for tier := range r.byTier {
		r.byTier[tier].advance(keep, busy(len(l.tiers[tier]) > 0))
	}
	mostUrgent := l.mostUrgent()
	for p := range priorities {
		r.byPriority[p].advance(keep, busy(l.byPriority[p].length > 0))
		r.orMoreUrgent[p].advance(keep, busy(p >= mostUrgent))
	}
}

// recordStart records the start of an item that is still in the line.
func (r *startRates) recordStart(i Item) {
	r.byTier[tierOf(i)].starts++
	r.byPriority[i.Priority].starts++
	r.recordOrMoreUrgent(i.Priority)
}

// recordPass records the start of an item that did not wait. It counts for those that waited.
func (r *startRates) recordPass(priority int, l *line) {
	if l.byPriority[priority].length > 0 {
		r.byPriority[priority].starts++
	}
	r.recordOrMoreUrgent(max(priority, l.mostUrgent()))
}

func (r *startRates) recordOrMoreUrgent(priority int) {
	for p := priority; p < priorities; p++ {
		r.orMoreUrgent[p].starts++
	}
}

// wait returns the time in which an item starts, given the numbers of items before it. It returns
// false if too few others have started lately.
func (r *startRates) wait(i Item, before counts) (time.Duration, bool) {
	longest, known := time.Duration(0), false
	for _, of := range []struct {
		rate   *startRate
		before int
	}{
		{&r.byTier[tierOf(i)], before.tier},
		{&r.byPriority[i.Priority], before.priority},
		{&r.orMoreUrgent[i.Priority], before.all},
	} {
		if wait, ok := of.rate.wait(of.before + 1); ok {
			longest, known = max(longest, wait), true
		}
	}
	return longest, known
}

// maxSeconds is the longest duration that seconds returns.
const maxSeconds = 24 * 3600

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}
