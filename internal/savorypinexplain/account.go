package savorypinexplain

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"savorypin/internal/savorypinevent"
)

// beliefBefore is how long before a request what its gateways believed is told.
const beliefBefore = 10 * time.Second

// ErrUnknownRequest means that no line names the request.
var ErrUnknownRequest = errors.New("no line names the request")

// beliefs are the kinds of events that change what a gateway believes.
var beliefs = map[savorypinevent.Kind]bool{
	savorypinevent.KindConfigurationInForce: true,
	savorypinevent.KindDependency:           true,
	savorypinevent.KindDomainSuspect:        true,
	savorypinevent.KindEndpointLeaves:       true,
	savorypinevent.KindEndpointPauses:       true,
	savorypinevent.KindEndpointSuspect:      true,
	savorypinevent.KindEndpointsChanged:     true,
	savorypinevent.KindEraBegan:             true,
	savorypinevent.KindHistoryLost:          true,
	savorypinevent.KindIgnored:              true,
	savorypinevent.KindLinesLeftOut:         true,
	savorypinevent.KindProcess:              true,
	savorypinevent.KindReadinessChanged:     true,
	savorypinevent.KindRollout:              true,
}

// Account is what the logs tell of a request.
type Account struct {
	// Beliefs are the changes of what the request's gateways believed, shortly
	// before and while they handled it.
	Beliefs []Line
	// Cause says in a sentence how the request ended and why.
	Cause string
	// History are the lines that name the request.
	History []Line
	ID      string
}

// Explain returns the account of a request.
func Explain(id string, lines []Line) (Account, error) {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
	a := Account{ID: id}
	gateways := map[string]bool{}
	for _, line := range sorted {
		if line.Value("id") == id {
			a.History = append(a.History, line)
			gateways[line.Gateway] = true
		}
	}
	if len(a.History) == 0 {
		return Account{}, fmt.Errorf("request %s: %w", id, ErrUnknownRequest)
	}
	first, last := a.History[0], a.History[len(a.History)-1]
	begin := first.At - time.Duration(first.Number("age"))*time.Millisecond
	for _, line := range sorted {
		if !gateways[line.Gateway] || !beliefs[savorypinevent.Kind(line.Kind)] {
			continue
		}
		if line.At >= begin-beliefBefore && line.At <= last.At {
			a.Beliefs = append(a.Beliefs, line)
		}
	}
	a.Cause = cause(a.History)
	return a, nil
}

// cause says how a request ended and why.
func cause(history []Line) string {
	last := history[len(history)-1]
	switch savorypinevent.Kind(last.Kind) {
	case savorypinevent.KindRequestRefused:
		return refusalCause(history, last)
	case savorypinevent.KindStreamFailed:
		return fmt.Sprintf("the stream was broken off after event %s and %s attempts: %s",
			orNone(last.Value("event")), last.Value("attempts"), last.Value("err"))
	case savorypinevent.KindCallerLeft:
		return fmt.Sprintf("the caller left after %s ms, at event %s", last.Value("age"), orNone(last.Value("event")))
	case savorypinevent.KindStreamCompleted:
		return fmt.Sprintf("the stream was completed in %s ms: first event after %s ms, longest pause %s ms, %s attempts",
			last.Value("age"), last.Value("first"), last.Value("longestPause"), last.Value("attempts"))
	case savorypinevent.KindRequestAnswered:
		return fmt.Sprintf("the endpoint %s answered %s after %s ms and %s attempts",
			last.Value("endpoint"), last.Value("status"), last.Value("age"), last.Value("attempts"))
	default:
		return fmt.Sprintf("the log ends with %q: the gateway %s may have been killed, or lines were left out", last.Kind, last.Gateway)
	}
}

// refusalCause says why the gateway answered by itself, with the last attempt at
// an endpoint if there was one.
func refusalCause(history []Line, last Line) string {
	text := fmt.Sprintf("the gateway answered %s by itself: %s; configuration %s, confirmed %s ms before, %s endpoints of which %s suspect",
		last.Value("status"), last.Value("reason"), last.Value("configuration"), last.Value("confirmationAge"),
		last.Value("endpoints"), last.Value("suspects"))
	for _, line := range slices.Backward(history) {
		kind := savorypinevent.Kind(line.Kind)
		if kind == savorypinevent.KindStreamFailed {
			text += "; the stream failed: " + line.Value("err")
		}
		if kind != savorypinevent.KindAttemptEnded && kind != savorypinevent.KindStreamBroken {
			continue
		}
		return text + fmt.Sprintf("; the last attempt, at %s, ended after %s ms: %s %s",
			line.Value("endpoint"), line.Value("age"), line.Value("outcome"), line.Value("err"))
	}
	return text
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}

// Write writes the account for people.
func (a Account) Write(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s: %s\n\nhistory\n", a.ID, a.Cause)
	start := a.History[0].At
	for _, line := range a.History {
		writeLine(&text, start, line)
	}
	fmt.Fprintf(&text, "\nwhat its gateways believed, from %s before\n", beliefBefore)
	for _, line := range a.Beliefs {
		writeLine(&text, start, line)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// writeLine writes a line with its time against the first one of the request.
func writeLine(w io.Writer, start time.Duration, line Line) {
	fmt.Fprintf(w, "  %+9.3f s  %-20s %-22s", (line.At - start).Seconds(), line.Gateway, line.Kind)
	for _, f := range line.Fields {
		if f.Name != "id" {
			fmt.Fprintf(w, " %s=%s", f.Name, f.Value)
		}
	}
	fmt.Fprintln(w)
}
