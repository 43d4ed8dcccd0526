package savorypinlimit

import "time"

// reachRetention is how long a share of the limits is reserved for entries that
// can't be reached. Regions lose contact with each other for up to an hour.
const reachRetention = time.Hour

// Reachability distinguishes entries that have stopped from those that may be
// partitioned from this one and still admit requests. It reserves a share of the
// limits for the latter.
//
// If most of the known entries are live, a missing entry counts as stopped, but
// a region without any live entry counts as partitioned. If most are missing,
// this entry counts itself as partitioned.
type Reachability struct {
	regions map[string]regionEntries
}

// regionEntries is the largest recent number of live entries of a region.
type regionEntries struct {
	entries int
	seenAt  time.Time
}

// NewReachability returns a Reachability without known regions.
func NewReachability() *Reachability {
	return &Reachability{regions: map[string]regionEntries{}}
}

// Update sets the numbers of live entries by region. It returns the number of
// entries that may admit requests, and the share of the limits that the live ones
// may use.
func (r *Reachability) Update(live map[string]int, now time.Time) (entries int, share float64) {
	total, unreachable := r.updateRegions(live, now)
	reachable := 0
	for _, n := range live {
		reachable += n
	}
	const majority = 2
	if majority*reachable > total {
		total = reachable + unreachable
	}
	return total, float64(reachable) / float64(total)
}

// updateRegions updates the known regions. It returns the number of known entries,
// and the number of those in regions without a live entry.
func (r *Reachability) updateRegions(live map[string]int, now time.Time) (total, unreachable int) {
	for region, n := range live {
		known, ok := r.regions[region]
		if !ok || n >= known.entries || now.Sub(known.seenAt) > reachRetention {
			r.regions[region] = regionEntries{entries: n, seenAt: now}
		}
	}
	for region, known := range r.regions {
		switch {
		case live[region] > 0:
		case now.Sub(known.seenAt) > reachRetention:
			delete(r.regions, region)
			continue
		default:
			unreachable += known.entries
		}
		total += known.entries
	}
	return total, unreachable
}
