package savorypinlimit

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"savorypin/internal/savorypin"
)

// demandHeadroom is the ratio of a grant to the demand, if the limit allows it, so
// that the demand can grow between two reports.
const demandHeadroom = 1.25

// leftoverDivisor divides the part of a limit that exceeds the total demand to get
// what is granted in advance. The rest stays free for entries that have not reported
// yet.
const leftoverDivisor = 2

// Owner grants entries parts of the limits of the organisations that this entry
// owns. It is safe for concurrent use.
type Owner struct {
	mu            sync.Mutex
	changes       []entriesChange
	organisations map[string]*ownedOrganisation
}

// entriesChange is a change of the set of live entries.
type entriesChange struct {
	at time.Time
	// ownedBefore reports whether this entry owned an organisation before the
	// change.
	ownedBefore func(organisation string) bool
}

// ownedOrganisation is the state of an organisation at its owner.
type ownedOrganisation struct {
	holders        map[string]*holder
	renewOnlyUntil time.Time
}

// holder is the grant of an entry and the usage that it last reported.
type holder struct {
	granted Amount
	// contended is the last value of Answer.Contended that was sent to the entry.
	contended bool
	expires   time.Time
	usage     Usage
}

// NewOwner returns an owner without grants. Until RenewOnlyDuration has passed, it
// only renews grants, as those of a previous owner may still be valid.
func NewOwner(now time.Time) *Owner {
	o := &Owner{organisations: map[string]*ownedOrganisation{}}
	o.RecordEntriesChange(func(string) bool { return false }, now)
	return o
}

// RecordEntriesChange records a change of the live entries, by which this entry may
// have become the owner of organisations. The function ownedBefore reports whether
// it owned an organisation before the change.
func (o *Owner) RecordEntriesChange(ownedBefore func(organisation string) bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes = slices.DeleteFunc(o.changes, func(c entriesChange) bool { return now.Sub(c.at) > RenewOnlyDuration })
	o.changes = append(o.changes, entriesChange{at: now, ownedBefore: ownedBefore})
}

// renewOnlyUntil returns the time until which grants of an organisation's limits
// by another owner may be valid.
func (o *Owner) renewOnlyUntil(organisation string) time.Time {
	var until time.Time
	for _, c := range o.changes {
		if !c.ownedBefore(organisation) {
			until = c.at.Add(RenewOnlyDuration)
		}
	}
	return until
}

// Grant answers the report of an entry. The function limit returns the total
// that may be granted of an organisation's limits.
func (o *Owner) Grant(entry string, report Report, limit func(organisation string) Amount, now time.Time) Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	var answer Answer
	if report.Renewal != nil {
		answer.Renewed = o.renew(entry, *report.Renewal, now)
	}
	if answer.Renewed {
		answer.Stale = o.staleOrganisations(entry, limit, now)
	}
	for _, usage := range report.Usages {
		l := limit(usage.Organisation)
		answer.Amounts = append(answer.Amounts, o.grant(entry, usage, l, now))
		answer.Contended = append(answer.Contended, o.organisations[usage.Organisation].updateContended(entry, l))
	}
	return answer
}

// renew extends the grants of an entry if their number and sum match those of
// the renewal, and reports whether they do.
func (o *Owner) renew(entry string, r Renewal, now time.Time) bool {
	for _, name := range r.Released {
		if org := o.organisations[name]; org != nil {
			delete(org.holders, entry)
		}
	}
	var known Renewal
	var renewable []*holder
	for name, org := range o.organisations {
		org.expire(now)
		if h := org.holders[entry]; h != nil {
			known.add(name, h.granted)
			renewable = append(renewable, h)
		}
	}
	if known.Grants != r.Grants || known.Sum != r.Sum {
		return false
	}
	for _, h := range renewable {
		h.expires = now.Add(GrantTerm)
	}
	return true
}

// staleOrganisations returns, sorted, the organisations whose usage the entry has
// to report: those with a grant that is now too large, or too small for the
// demand although more is available, and those whose total demand exceeds the
// limit.
func (o *Owner) staleOrganisations(entry string, limit func(organisation string) Amount, now time.Time) []string {
	var names []string
	for name, org := range o.organisations {
		h := org.holders[entry]
		if h == nil || h.contended || now.Before(org.renewOnlyUntil) {
			continue
		}
		l := limit(name)
		share := org.share(h, l)
		if org.isContended(l) || share.wellBelow(h.granted) || share.canRaise(h.usage.Demand, h.granted) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// updateContended stores in the holder of an entry whether the total demand
// exceeds the limit, and returns it.
func (org *ownedOrganisation) updateContended(entry string, limit Amount) bool {
	h := org.holders[entry]
	h.contended = org.isContended(limit)
	return h.contended
}

// isContended reports whether the total demand of the holders exceeds a limit.
func (org *ownedOrganisation) isContended(limit Amount) bool {
	var demand Amount
	for _, h := range org.holders {
		demand.Tokens += demandHeadroom * h.usage.Demand.Tokens
		demand.Requests += demandHeadroom * h.usage.Demand.Requests
		demand.Concurrency += h.usage.Demand.Concurrency
	}
	return exceeds(demand.Tokens, limit.Tokens) || exceeds(demand.Requests, limit.Requests) || exceeds(demand.Concurrency, limit.Concurrency)
}

// exceeds reports whether a demand exceeds a limit. A limit of zero means unlimited.
func exceeds[T float32 | int](demand, limit T) bool {
	return limit > 0 && demand > limit
}

// grant stores the usage of an entry and returns its new grant. Until the grants
// of a previous owner have expired, it is no larger than the one the entry holds.
func (o *Owner) grant(entry string, usage Usage, limit Amount, now time.Time) Amount {
	org := o.organisations[usage.Organisation]
	if org == nil {
		org = &ownedOrganisation{holders: map[string]*holder{}, renewOnlyUntil: o.renewOnlyUntil(usage.Organisation)}
		o.organisations[usage.Organisation] = org
	}
	org.expire(now)
	h := org.holders[entry]
	if h == nil {
		h = &holder{}
		org.holders[entry] = h
	}
	h.usage = usage
	h.granted = org.share(h, limit)
	if now.Before(org.renewOnlyUntil) {
		h.granted = minAmount(h.granted, usage.validGrant())
	}
	h.expires = now.Add(GrantTerm)
	return h.granted
}

// Sweep removes expired grants and organisations without any.
func (o *Owner) Sweep(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, org := range o.organisations {
		org.expire(now)
		if len(org.holders) == 0 {
			delete(o.organisations, name)
		}
	}
}

func (org *ownedOrganisation) expire(now time.Time) {
	for name, h := range org.holders {
		if now.After(h.expires) {
			delete(org.holders, name)
		}
	}
}

// share returns what self may be granted: its share by demand, bounded by what
// the valid grants of the others leave of the limit.
func (org *ownedOrganisation) share(self *holder, limit Amount) Amount {
	var others []*holder
	free := limit
	for _, name := range slices.Sorted(maps.Keys(org.holders)) {
		other := org.holders[name]
		if other == self {
			continue
		}
		others = append(others, other)
		free.Tokens -= other.granted.Tokens
		free.Requests -= other.granted.Requests
		free.Concurrency -= max(other.granted.Concurrency, other.usage.Running)
	}
	tokens := demandShare(float64(limit.Tokens), self, others, func(u Usage) float64 { return float64(u.Demand.Tokens) })
	requests := demandShare(float64(limit.Requests), self, others, func(u Usage) float64 { return float64(u.Demand.Requests) })
	concurrency := demandShare(float64(limit.Concurrency), self, others, func(u Usage) float64 { return float64(u.Demand.Concurrency) })
	share := Amount{
		Tokens:      float32(tokens),
		Requests:    float32(requests),
		Concurrency: int(math.Ceil(concurrency)),
	}
	return minAmount(share, Amount{
		Tokens:      max(0, free.Tokens),
		Requests:    max(0, free.Requests),
		Concurrency: max(0, free.Concurrency),
	})
}

// demandShare returns the share of a limit that self gets by max-min fairness,
// plus its equal part of what is granted in advance.
func demandShare(limit float64, self *holder, others []*holder, demand func(Usage) float64) float64 {
	parties := []Party{{Demand: demand(self.usage) * demandHeadroom, Weight: 1}}
	for _, other := range others {
		parties = append(parties, Party{Demand: demand(other.usage) * demandHeadroom, Weight: 1})
	}
	shares, _ := MaxMin(limit, parties)
	leftover := limit
	for _, share := range shares {
		leftover -= share
	}
	return shares[0] + leftover/leftoverDivisor/float64(len(shares))
}

func minAmount(a, b Amount) Amount {
	return Amount{
		Tokens:      min(a.Tokens, b.Tokens),
		Requests:    min(a.Requests, b.Requests),
		Concurrency: min(a.Concurrency, b.Concurrency),
	}
}

// ShareOfLimits returns the given share of the limits of an organisation: what its
// owner may grant to the entries that it can reach.
func ShareOfLimits(spec savorypin.OrganisationSpec, share float64) Amount {
	a := limitsOf(spec)
	a.Tokens *= float32(share)
	a.Requests *= float32(share)
	a.Concurrency = int(math.Floor(float64(a.Concurrency) * share))
	return a
}
