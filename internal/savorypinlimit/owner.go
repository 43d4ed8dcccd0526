package savorypinlimit

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"savorypin/internal/savorypin"
)

// demandRoom is how much more than its demand an entry is granted if there is
// room, so that demand can grow between two reports.
const demandRoom = 1.25

// leftoverDivisor is the part of what nobody asked for that is granted in
// advance; the rest stays free for entries that have not reported yet.
const leftoverDivisor = 2

// Owner grants parts of the limits of the organisations that this entry owns.
// It is safe for concurrent use.
type Owner struct {
	mu            sync.Mutex
	changes       []entriesChange
	organisations map[string]*owned
}

// entriesChange is a change of the live entries.
type entriesChange struct {
	at time.Time
	// owned reports whether this entry owned an organisation before.
	owned func(organisation string) bool
}

// owned is an organisation at its owner.
type owned struct {
	holders   map[string]*holder
	holdUntil time.Time
}

// holder is an entry that has a grant.
type holder struct {
	granted Amount
	// tight says that the holder was told to report its usage often.
	tight bool
	until time.Time
	usage Usage
}

// NewOwner returns an owner that has granted nothing. Another owner may have.
func NewOwner(now time.Time) *Owner {
	o := &Owner{organisations: map[string]*owned{}}
	o.EntriesChanged(func(string) bool { return false }, now)
	return o
}

// EntriesChanged takes note that other entries are live than before. This entry
// may have become the owner of the organisations that it did not own then.
func (o *Owner) EntriesChanged(owned func(organisation string) bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes = slices.DeleteFunc(o.changes, func(c entriesChange) bool { return now.Sub(c.at) > OwnerHold })
	o.changes = append(o.changes, entriesChange{at: now, owned: owned})
}

// holdUntil returns until when another owner's grants of an organisation may be
// valid.
func (o *Owner) holdUntil(organisation string) time.Time {
	var until time.Time
	for _, c := range o.changes {
		if !c.owned(organisation) {
			until = c.at.Add(OwnerHold)
		}
	}
	return until
}

// Grant answers the report of an entry. The limit of an organisation is what
// may be granted in all.
func (o *Owner) Grant(entry string, report Report, limit func(organisation string) Amount, now time.Time) Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	var answer Answer
	if report.Renewal != nil {
		answer.Renewed = o.renew(entry, *report.Renewal, now)
	}
	if answer.Renewed {
		answer.Stale = o.stale(entry, limit, now)
	}
	for _, usage := range report.Usages {
		l := limit(usage.Organisation)
		answer.Amounts = append(answer.Amounts, o.grant(entry, usage, l, now))
		answer.Tight = append(answer.Tight, o.organisations[usage.Organisation].tighten(entry, l))
	}
	return answer
}

// renew keeps the grants of an entry valid if both sides know the same ones, and
// reports whether they do.
func (o *Owner) renew(entry string, r Renewal, now time.Time) bool {
	for _, name := range r.Released {
		if org := o.organisations[name]; org != nil {
			delete(org.holders, entry)
		}
	}
	var known Renewal
	var held []*holder
	for name, org := range o.organisations {
		org.expire(now)
		if h := org.holders[entry]; h != nil {
			known.add(name, h.granted)
			held = append(held, h)
		}
	}
	if known.Grants != r.Grants || known.Sum != r.Sum {
		return false
	}
	for _, h := range held {
		h.until = now.Add(GrantTerm)
	}
	return true
}

// stale returns the organisations, sorted, of which the entry holds too much by
// now, or less than it asked for and can have, or for which all entries together
// have come to ask for more than there is.
func (o *Owner) stale(entry string, limit func(organisation string) Amount, now time.Time) []string {
	var names []string
	for name, org := range o.organisations {
		h := org.holders[entry]
		if h == nil || h.tight || now.Before(org.holdUntil) {
			continue
		}
		l := limit(name)
		share := org.share(h, l)
		if org.contended(l) || share.under(h.granted) || share.serves(h.usage.Demand, h.granted) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// tighten takes note of whether the holders ask for more than a limit, and tells
// the entry.
func (org *owned) tighten(entry string, limit Amount) bool {
	h := org.holders[entry]
	h.tight = org.contended(limit)
	return h.tight
}

// contended reports whether the holders ask for more than a limit.
func (org *owned) contended(limit Amount) bool {
	var demand Amount
	for _, h := range org.holders {
		demand.Tokens += demandRoom * h.usage.Demand.Tokens
		demand.Requests += demandRoom * h.usage.Demand.Requests
		demand.Concurrency += h.usage.Demand.Concurrency
	}
	return over(demand.Tokens, limit.Tokens) || over(demand.Requests, limit.Requests) || over(demand.Concurrency, limit.Concurrency)
}

// over reports whether a demand exceeds a limit; zero is no limit.
func over[T float32 | int](demand, limit T) bool {
	return limit > 0 && demand > limit
}

func (o *Owner) grant(entry string, usage Usage, limit Amount, now time.Time) Amount {
	org := o.organisations[usage.Organisation]
	if org == nil {
		org = &owned{holders: map[string]*holder{}, holdUntil: o.holdUntil(usage.Organisation)}
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
	if now.Before(org.holdUntil) {
		h.granted = least(h.granted, usage.held())
	}
	h.until = now.Add(GrantTerm)
	return h.granted
}

// Sweep forgets organisations without holders.
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

func (org *owned) expire(now time.Time) {
	for name, h := range org.holders {
		if now.After(h.until) {
			delete(org.holders, name)
		}
	}
}

// share returns what h may be granted: its part by demand, but no more than
// what the valid grants of the others leave.
func (org *owned) share(h *holder, limit Amount) Amount {
	var others []*holder
	free := limit
	for _, name := range slices.Sorted(maps.Keys(org.holders)) {
		other := org.holders[name]
		if other == h {
			continue
		}
		others = append(others, other)
		free.Tokens -= other.granted.Tokens
		free.Requests -= other.granted.Requests
		free.Concurrency -= max(other.granted.Concurrency, other.usage.Running)
	}
	tokens := part(float64(limit.Tokens), h, others, func(u Usage) float64 { return float64(u.Demand.Tokens) })
	requests := part(float64(limit.Requests), h, others, func(u Usage) float64 { return float64(u.Demand.Requests) })
	concurrency := part(float64(limit.Concurrency), h, others, func(u Usage) float64 { return float64(u.Demand.Concurrency) })
	wanted := Amount{
		Tokens:      float32(tokens),
		Requests:    float32(requests),
		Concurrency: int(math.Ceil(concurrency)),
	}
	return least(wanted, Amount{
		Tokens:      max(0, free.Tokens),
		Requests:    max(0, free.Requests),
		Concurrency: max(0, free.Concurrency),
	})
}

// part returns the part of a limit that h gets by demand.
func part(limit float64, h *holder, others []*holder, demand func(Usage) float64) float64 {
	claims := []Claim{{Demand: demand(h.usage) * demandRoom, Weight: 1}}
	for _, other := range others {
		claims = append(claims, Claim{Demand: demand(other.usage) * demandRoom, Weight: 1})
	}
	shares, _ := MaxMin(limit, claims)
	leftover := limit
	for _, share := range shares {
		leftover -= share
	}
	return shares[0] + leftover/leftoverDivisor/float64(len(shares))
}

func least(a, b Amount) Amount {
	return Amount{
		Tokens:      min(a.Tokens, b.Tokens),
		Requests:    min(a.Requests, b.Requests),
		Concurrency: min(a.Concurrency, b.Concurrency),
	}
}

// LimitOf returns what may be granted of the limits of an organisation by the
// owners of the live regions, which have a share of them.
func LimitOf(spec savorypin.OrganisationSpec, share float64) Amount {
	a := amountOf(spec)
	a.Tokens *= float32(share)
	a.Requests *= float32(share)
	a.Concurrency = int(math.Floor(float64(a.Concurrency) * share))
	return a
}
