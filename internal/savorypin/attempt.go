package savorypin

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

// termRandomBits is the number of low bits of a term that are random, so that two
// entries that begin a term at the same time get different ones.
const termRandomBits = 32

// AttemptID identifies one attempt at a generation. No two attempts at a
// generation have the same id, whichever entries made them.
type AttemptID struct {
	// Number counts the attempts at the generation.
	Number int `json:"number" msgpack:"n"`
	// Term identifies the period in which one entry owns the generation. An entry
	// that takes over a generation begins a higher term.
	Term uint64 `json:"term" msgpack:"t"`
}

// NextTerm returns a term that is higher than prev. Its low bits are random, so that
// two entries that take over a generation at the same time get different terms.
func NextTerm(prev uint64) uint64 {
	return (prev>>termRandomBits+1)<<termRandomBits | uint64(rand.Uint32())
}

// ParseAttemptID parses the text form of an attempt id.
func ParseAttemptID(s string) (AttemptID, error) {
	number, term, ok := strings.Cut(s, "-")
	n, err := strconv.Atoi(number)
	if !ok || err != nil {
		return AttemptID{}, Errorf(KindInvalid, "attempt id "+strconv.Quote(s), "has no number")
	}
	t, err := strconv.ParseUint(term, 16, 64)
	if err != nil {
		return AttemptID{}, Errorf(KindInvalid, "attempt id "+strconv.Quote(s), "has a bad term")
	}
	return AttemptID{Number: n, Term: t}, nil
}

// Compare orders attempts by term and then by number.
func (a AttemptID) Compare(b AttemptID) int {
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Number, b.Number))
}

// IsZero reports whether a is the zero id, which stands for no attempt.
func (a AttemptID) IsZero() bool {
	return a == AttemptID{}
}

// String returns the text form that ParseAttemptID reads.
func (a AttemptID) String() string {
	return fmt.Sprintf("%d-%x", a.Number, a.Term)
}

// Segment is a run of tokens of an answer that one attempt produced. It ends where
// the next segment begins.
type Segment struct {
	Attempt AttemptID `msgpack:"a"`
	First   int       `msgpack:"i"`
}

// Lineage lists the segments of an answer in the order of their indexes.
type Lineage []Segment

// At returns the attempt that produced the token at an index, or the zero id if the
// index is before the first segment.
func (l Lineage) At(index int) AttemptID {
	for i := len(l) - 1; i >= 0; i-- {
		if l[i].First <= index {
			return l[i].Attempt
		}
	}
	return AttemptID{}
}

// CanResumeAt reports whether an answer with this lineage can resume at the position.
// It can if the token before the position comes from the same attempt, since all
// earlier tokens are then the same too. A position without an attempt is accepted.
func (l Lineage) CanResumeAt(position EventID) bool {
	if position.next == 0 || position.attempt.IsZero() {
		return true
	}
	return l.At(position.next-1) == position.attempt
}
