package savorypinlimit

import "time"

// reachHold is how long the part of entries that cannot be reached is left to
// them. Regions lose each other for up to an hour.
const reachHold = time.Hour

// Reach tells dead entries from those that may be cut off and still admit
// requests. The part of the latter in the limits is left to them.
//
// Where most of the known entries are live, a missing one is taken as dead, but
// a region that is silent as a whole as cut off. Where most are missing, this
// entry takes itself as cut off.
type Reach struct {
	regions map[string]reachRegion
}

// reachRegion is the largest number of entries that a region had lately.
type reachRegion struct {
	entries int
	heard   time.Time
}

// NewReach returns a Reach that knows no region.
func NewReach() *Reach {
	return &Reach{regions: map[string]reachRegion{}}
}

// Update takes over the number of live entries by region. It returns the
// number of entries that may admit requests, and the share of the limits that
// belongs to the live ones.
func (r *Reach) Update(live map[string]int, now time.Time) (entries int, share float64) {
	total, silent := r.remember(live, now)
	reached := 0
	for _, n := range live {
		reached += n
	}
	const majority = 2
	if majority*reached > total {
		total = reached + silent
	}
	return total, float64(reached) / float64(total)
}

// remember returns the number of known entries, and the number of those in
// silent regions.
func (r *Reach) remember(live map[string]int, now time.Time) (total, silent int) {
	for region, n := range live {
		known, ok := r.regions[region]
		if !ok || n >= known.entries || now.Sub(known.heard) > reachHold {
			r.regions[region] = reachRegion{entries: n, heard: now}
		}
	}
	for region, known := range r.regions {
		switch {
		case live[region] > 0:
		case now.Sub(known.heard) > reachHold:
			delete(r.regions, region)
			continue
		default:
			silent += known.entries
		}
		total += known.entries
	}
	return total, silent
}
