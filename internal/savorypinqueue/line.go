package savorypinqueue

import (
	"cmp"
	"iter"
	"slices"
)

// tiersPerPriority is the number of tiers of a priority: resumed and returned, resumed, returned, new.
// tiers is that of all priorities.
const (
	tiersPerPriority = 4
	tiers            = priorities * tiersPerPriority
)

// line holds the waiting tickets in their order: by tier, in a tier by the latest start. Each tier
// is sorted, so that its first ticket is the earliest one to expire.
type line struct {
	bytes  int
	length int
	tiers  [tiers][]*Ticket
	// byPriority holds the sums of each priority.
	byPriority [priorities]struct{ bytes, length int }
}

// tierOf returns the tier of an item.
func tierOf(i Item) int {
	tier := i.Priority * tiersPerPriority
	if !i.Resumed {
		tier += 2
	}
	if !i.Returned {
		tier++
	}
	return tier
}

// compareTickets orders the tickets of a tier.
func compareTickets(a, b *Ticket) int {
	return cmp.Or(a.latest.Compare(b.latest), cmp.Compare(a.number, b.number))
}

func (l *line) insert(t *Ticket) {
	tier := tierOf(t.item)
	at, _ := slices.BinarySearchFunc(l.tiers[tier], t, compareTickets)
	l.tiers[tier] = slices.Insert(l.tiers[tier], at, t)
	l.add(t.item, 1)
}

// remove removes a ticket that is in the line.
func (l *line) remove(t *Ticket) {
	tier := tierOf(t.item)
	at, found := slices.BinarySearchFunc(l.tiers[tier], t, compareTickets)
	if !found {
		return
	}
	l.tiers[tier] = slices.Delete(l.tiers[tier], at, at+1)
	l.add(t.item, -1)
}

// add adds an item to the sums, or subtracts it if sign is -1.
func (l *line) add(i Item, sign int) {
	l.length += sign
	l.bytes += sign * i.Bytes
	l.byPriority[i.Priority].length += sign
	l.byPriority[i.Priority].bytes += sign * i.Bytes
}

// counts are the numbers of tickets before another one: in its tier, of its priority and in all.
type counts struct {
	tier, priority, all int
}

// before returns the numbers of tickets before one that is not in the line.
func (l *line) before(t *Ticket) counts {
	tier := tierOf(t.item)
	var n counts
	n.tier, _ = slices.BinarySearchFunc(l.tiers[tier], t, compareTickets)
	n.priority = n.tier
	for _, tickets := range l.tiers[t.item.Priority*tiersPerPriority : tier] {
		n.priority += len(tickets)
	}
	n.all = n.priority
	for _, sums := range l.byPriority[:t.item.Priority] {
		n.all += sums.length
	}
	return n
}

// all returns the tickets in their order. The line must not change meanwhile.
func (l *line) all() iter.Seq[*Ticket] {
	return func(yield func(*Ticket) bool) { l.yieldTiers(l.tiers[:], yield) }
}

// allStartingWith returns the tickets of a priority, and then the others in their order.
func (l *line) allStartingWith(priority int) iter.Seq[*Ticket] {
	first, end := priority*tiersPerPriority, (priority+1)*tiersPerPriority
	return func(yield func(*Ticket) bool) {
		_ = l.yieldTiers(l.tiers[first:end], yield) && l.yieldTiers(l.tiers[:first], yield) && l.yieldTiers(l.tiers[end:], yield)
	}
}

func (l *line) yieldTiers(tiers [][]*Ticket, yield func(*Ticket) bool) bool {
	for _, tickets := range tiers {
		for _, t := range tickets {
			if !yield(t) {
				return false
			}
		}
	}
	return true
}

// backwards returns the tickets from the last one to the first.
func (l *line) backwards() iter.Seq[*Ticket] {
	return func(yield func(*Ticket) bool) {
		for _, tickets := range slices.Backward(l.tiers[:]) {
			for _, t := range slices.Backward(tickets) {
				if !yield(t) {
					return
				}
			}
		}
	}
}

// earliest returns the ticket with the earliest latest start, or nil if there is none.
func (l *line) earliest() *Ticket {
	var earliest *Ticket
	for _, tickets := range l.tiers {
		if len(tickets) > 0 && (earliest == nil || tickets[0].latest.Before(earliest.latest)) {
			earliest = tickets[0]
		}
	}
	return earliest
}

// mostUrgent returns the most urgent waiting priority, or priorities if nothing waits.
func (l *line) mostUrgent() int {
	for p := range priorities {
		if l.byPriority[p].length > 0 {
			return p
		}
	}
	return priorities
}

// lessUrgent returns the number of tickets that are less urgent than a priority.
func (l *line) lessUrgent(priority int) int {
	n := 0
	for _, sums := range l.byPriority[priority+1:] {
		n += sums.length
	}
	return n
}

// hasLessUrgent reports whether a ticket waits that is less urgent than a priority.
func (l *line) hasLessUrgent(priority int) bool { return l.lessUrgent(priority) > 0 }
