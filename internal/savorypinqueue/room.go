package savorypinqueue

// maxDisplaced limits the number of items that one item displaces, so that a large body doesn't
// refuse a crowd of small ones.
const maxDisplaced = 8

// room is what a new ticket still lacks to wait.
type room struct {
	// bytes and places are lacking in the queue, ownBytes and ownPlaces in the part that its
	// priority may use; none if they are zero or negative.
	bytes, places       int
	ownBytes, ownPlaces int
}

func (r *room) enough() bool {
	return r.bytes <= 0 && r.places <= 0 && r.ownBytes <= 0 && r.ownPlaces <= 0
}

// reason returns why a ticket that lacks this can't wait.
func (r *room) reason() Reason {
	if r.places > 0 || r.ownPlaces > 0 {
		return ReasonFull
	}
	return ReasonBytes
}

// gain adds what the end of an item yields. It returns false if that is nothing that is lacking.
func (r *room) gain(i Item, own bool) bool {
	helps := r.places > 0 || r.bytes > 0 && i.Bytes > 0
	if own {
		helps = helps || r.ownPlaces > 0 || r.ownBytes > 0 && i.Bytes > 0
	}
	if !helps {
		return false
	}
	r.places--
	r.bytes -= i.Bytes
	if own {
		r.ownPlaces--
		r.ownBytes -= i.Bytes
	}
	return true
}

// reserved returns the part of a limit that the most urgent waiting priority leaves to less urgent
// ones, which could otherwise not use their share of the starts.
func (q *Queue) reserved(limit int) int { return limit / q.cfg.ShareInterval }

// lacking returns what a new item lacks.
func (q *Queue) lacking(i Item) room {
	// Compared this way, the sums don't overflow.
	r := room{bytes: i.Bytes - (q.cfg.MaxBytes - q.line.bytes), places: 1 - (q.cfg.MaxLength - q.line.length)}
	if i.Priority <= q.line.mostUrgent() {
		sums := q.line.byPriority[i.Priority]
		r.ownBytes = i.Bytes - (q.cfg.MaxBytes - q.reserved(q.cfg.MaxBytes) - sums.bytes)
		r.ownPlaces = 1 - (q.cfg.MaxLength - q.reserved(q.cfg.MaxLength) - sums.length)
	}
	return r
}

// makeRoom returns the tickets to displace so that another one can wait, or the reason why it can't.
// It changes nothing. Items displace those of less urgent priorities, but not from the part that is
// reserved for these, and resumed ones also new ones of their own priority.
func (q *Queue) makeRoom(t *Ticket) ([]*Ticket, Reason) {
	lacking := q.lacking(t.item)
	if lacking.enough() {
		return nil, ""
	}
	var displaced []*Ticket
	lessUrgent := q.line.lessUrgent(t.item.Priority) - q.reserved(q.cfg.MaxLength)
	for other := range q.line.backwards() {
		own := other.item.Priority == t.item.Priority
		if other.item.Priority < t.item.Priority || own && (!t.item.Resumed || other.item.Resumed) || len(displaced) == maxDisplaced {
			break
		}
		if !own && lessUrgent <= 0 || !lacking.gain(other.item, own) {
			continue
		}
		if !own {
			lessUrgent--
		}
		displaced = append(displaced, other)
		if lacking.enough() {
			return displaced, ""
		}
	}
	return nil, lacking.reason()
}
