// Package savorypinrollout decides how much of a service's traffic a new version
// gets while it is rolled out, and whether it is worse than the old one. It uses
// no network and no clock of its own. All gateways decide alike from what they
// tell each other, so that no one has to be asked for a request.
package savorypinrollout

import (
	"math"
	"time"
)

// Settings of the comparison.
const (
	// evidenceBad is the logarithm of the likelihood ratio at which a version is
	// taken as bad: a good one reaches it once in a thousand times.
	evidenceBad = 6.9
	// evidenceDoubt is the same for a version that has no more time to show that
	// it is good.
	evidenceDoubt = 3.0
	// worseFactor and worseShare say how much more often a bad version fails: so
	// many times as often as the old one, and by this share of all at least.
	worseFactor = 2.5
	worseShare  = 0.12
	// mostBad is the largest share of failures that is compared.
	mostBad = 0.95
	// slowFactor is how many times the usual time of a route an answer takes that
	// counts as failed.
	slowFactor = 4
	// usualWeight is the weight of a new time in the usual one.
	usualWeight = 0.1
)

// Count is how many answers a version gave, and how many of them were bad.
type Count struct {
	Bad   int64 `msgpack:"b"`
	Total int64 `msgpack:"t"`
}

func (c *Count) add(o Count) {
	c.Bad += o.Bad
	c.Total += o.Total
}

// Counts are the answers of both versions on one route.
type Counts struct {
	New Count `msgpack:"n"`
	Old Count `msgpack:"o"`
}

// evidence returns the logarithm of the likelihood ratio between a new version
// that is worse than the old one and one that is as good (Wald's sequential
// test with the old version's share of failures in place of a known one).
func (c Counts) evidence() float64 {
	if c.New.Total == 0 {
		return 0
	}
	// Two answers more, one of them bad, stand for what is not known of the old
	// version (Laplace's rule of succession).
	good := (float64(c.Old.Bad) + 1) / (float64(c.Old.Total) + 2)
	good = min(good, mostBad/worseFactor)
	bad := min(mostBad, max(worseFactor*good, good+worseShare))
	failed := float64(c.New.Bad)
	fine := float64(c.New.Total) - failed
	return failed*math.Log(bad/good) + fine*math.Log((1-bad)/(1-good))
}

// strongest returns the strongest evidence on any route or on all together.
func strongest(byRoute map[string]Counts) float64 {
	var all Counts
	most := 0.0
	for _, c := range byRoute {
		all.New.add(c.New)
		all.Old.add(c.Old)
		most = max(most, c.evidence())
	}
	return max(most, all.evidence())
}

// usual is the usual time of the old version's answers on a route.
type usual struct {
	mean time.Duration
}

// slow reports whether an answer took several times as long as usual.
func (u *usual) slow(took time.Duration) bool {
	return u.mean > 0 && took > slowFactor*u.mean
}

func (u *usual) note(took time.Duration) {
	if u.mean == 0 {
		u.mean = took
		return
	}
	u.mean += time.Duration(usualWeight * float64(took-u.mean))
}
