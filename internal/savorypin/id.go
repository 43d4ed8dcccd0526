package savorypin

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/google/uuid"
)

// GenerationID identifies one generation. It contains the name of the agent that ran
// the first attempt, so that any entry can find the generation without a directory.
type GenerationID string

// NewGenerationID returns a new id of a generation that starts at agent.
func NewGenerationID(agent string) GenerationID {
	return GenerationID(uuid.NewString() + "." + agent)
}

// Agent returns the name of the agent that ran the first attempt, or an empty
// string if id is malformed.
func (id GenerationID) Agent() string {
	_, agent, _ := strings.Cut(string(id), ".")
	return agent
}

// EventID identifies a position in the answer of a generation. Callers send it back
// in the Last-Event-ID header.
type EventID struct {
	attempt    AttemptID
	generation GenerationID
	next       int
}

// NewEventID returns the position before the token with index next. The
// attempt is the one that produced the token before the position.
func NewEventID(generation GenerationID, next int, attempt AttemptID) EventID {
	return EventID{attempt: attempt, generation: generation, next: next}
}

// ParseEventID parses the text form of an event id.
func ParseEventID(s string) (EventID, error) {
	generation, rest, ok := strings.Cut(s, "/")
	if !ok {
		return EventID{}, Errorf(KindInvalid, "event id "+strconv.Quote(s), "has no index")
	}
	index, attempt, _ := strings.Cut(rest, "/")
	next, err := strconv.Atoi(index)
	if err != nil || next < 0 {
		return EventID{}, Errorf(KindInvalid, "event id "+strconv.Quote(s), "has a bad index")
	}
	e := EventID{generation: GenerationID(generation), next: next}
	if attempt != "" {
		e.attempt, err = ParseAttemptID(attempt)
	}
	return e, err
}

// Attempt returns the attempt that produced the token before the position, or
// the zero id if the position has none.
func (e EventID) Attempt() AttemptID {
	return e.attempt
}

// Generation returns the generation of the position.
func (e EventID) Generation() GenerationID {
	return e.generation
}

// Next returns the index of the first token after the position.
func (e EventID) Next() int {
	return e.next
}

// String returns the text form that ParseEventID reads.
func (e EventID) String() string {
	if e.attempt.IsZero() {
		return fmt.Sprintf("%s/%d", e.generation, e.next)
	}
	return fmt.Sprintf("%s/%d/%s", e.generation, e.next, e.attempt)
}
