package savorypinqueue

// minimumShare keeps one start in interval for priorities that are less urgent than the most urgent
// waiting one, together.
type minimumShare struct {
	interval int
	// passed is the number of starts since the last kept one that came before less urgent items.
	passed int
	// starts is the number of starts of each priority, and last what the number of all starts was at
	// the last one of a priority.
	starts [priorities]uint64
	last   [priorities]uint64
	all    uint64
}

// due reports whether the next start is kept for less urgent items.
func (s *minimumShare) due() bool { return s.passed >= s.interval-1 }

// priority returns the priority that the next start is kept for: of those that are less urgent than
// the most urgent waiting one that whose last start was the earliest. It returns false if there is none.
func (s *minimumShare) priority(l *line) (int, bool) {
	if !s.due() {
		return 0, false
	}
	chosen := priorities
	for p := l.mostUrgent() + 1; p < priorities; p++ {
		if l.byPriority[p].length > 0 && (chosen == priorities || s.last[p] < s.last[chosen]) {
			chosen = p
		}
	}
	return chosen, chosen < priorities
}

// recordStart records a start of an item that is not in the line, or no longer.
func (s *minimumShare) recordStart(priority int, l *line) {
	s.all++
	s.starts[priority]++
	s.last[priority] = s.all
	switch {
	case l.mostUrgent() < priority, !l.hasLessUrgent(priority):
		s.passed = 0
	default:
		s.passed = min(s.passed+1, s.interval)
	}
}
