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

// eventLookback is how long before the request a report includes gateway events.
const eventLookback = 10 * time.Second

// ErrUnknownRequest means that no log line has the ID of the request.
var ErrUnknownRequest = errors.New("no log line has the ID of the request")

// isGatewayEvent holds the kinds of events that concern the state of a gateway rather
// than one request.
var isGatewayEvent = map[savorypinevent.Kind]bool{
	savorypinevent.KindConfigurationInForce: true,
	savorypinevent.KindDependency:           true,
	savorypinevent.KindDomainSuspect:        true,
	savorypinevent.KindEndpointCrashed:      true,
	savorypinevent.KindEndpointLeaves:       true,
	savorypinevent.KindEndpointLimits:       true,
	savorypinevent.KindEndpointPauses:       true,
	savorypinevent.KindEndpointSuspect:      true,
	savorypinevent.KindEndpointsChanged:     true,
	savorypinevent.KindEraBegan:             true,
	savorypinevent.KindHistoryLost:          true,
	savorypinevent.KindIgnored:              true,
	savorypinevent.KindLinesLeftOut:         true,
	savorypinevent.KindProcess:              true,
	savorypinevent.KindQuarantineChanged:    true,
	savorypinevent.KindReadinessChanged:     true,
	savorypinevent.KindRollout:              true,
}

// RequestReport is what the logs contain about a request.
type RequestReport struct {
	// GatewayEvents are the events that changed the state of the request's gateways,
	// from eventLookback before the request to its last line.
	GatewayEvents []Line
	// SubjectEvents are the crashes and the changes of the quarantine, at any gateway before the
	// request's last line, that concern what it was refused for: a part of its prompt, or the
	// request itself.
	SubjectEvents []Line
	// Summary says in a sentence how the request ended and why.
	Summary string
	// History are the lines with the ID of the request, in the order of their times.
	History []Line
	ID      string
}

// Explain returns the report on a request. It returns ErrUnknownRequest if no line has
// its ID.
func Explain(id string, lines []Line) (RequestReport, error) {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
	report := RequestReport{ID: id}
	gateways := map[string]bool{}
	for _, line := range sorted {
		if line.Value("id") == id {
			report.History = append(report.History, line)
			gateways[line.Gateway] = true
		}
	}
	if len(report.History) == 0 {
		return RequestReport{}, fmt.Errorf("request %s: %w", id, ErrUnknownRequest)
	}
	first, last := report.History[0], report.History[len(report.History)-1]
	begin := first.At - time.Duration(first.Int("age"))*time.Millisecond
	for _, line := range sorted {
		if !gateways[line.Gateway] || !isGatewayEvent[savorypinevent.Kind(line.Kind)] {
			continue
		}
		if line.At >= begin-eventLookback && line.At <= last.At {
			report.GatewayEvents = append(report.GatewayEvents, line)
		}
	}
	report.SubjectEvents = subjectEvents(sorted, refusedSubject(report.History), last.At)
	report.Summary = summarize(report.History)
	return report, nil
}

// subject is what a request was refused for, as log lines name it.
type subject struct {
	part, request string
}

// refusedSubject returns what a request was refused for; empty for other reasons.
func refusedSubject(history []Line) subject {
	for _, line := range slices.Backward(history) {
		if savorypinevent.Kind(line.Kind) != savorypinevent.KindRequestRefused {
			continue
		}
		if s := (subject{part: line.Value("part"), request: line.Value("request")}); s != (subject{}) {
			return s
		}
	}
	return subject{}
}

// concerns reports whether a crash or a change of the quarantine concerns a subject.
func (s subject) concerns(line Line) bool {
	switch savorypinevent.Kind(line.Kind) {
	case savorypinevent.KindEndpointCrashed:
		return s.request != "" && line.Value("request") == s.request ||
			s.part != "" && slices.Contains(strings.Split(line.Value("parts"), ","), s.part)
	case savorypinevent.KindQuarantineChanged:
		return line.Value("part") == s.part && line.Value("request") == s.request
	}
	return false
}

// subjectEvents returns the lines until a time that concern a subject.
func subjectEvents(lines []Line, s subject, until time.Duration) []Line {
	var events []Line
	for _, line := range lines {
		if s != (subject{}) && line.At <= until && s.concerns(line) {
			events = append(events, line)
		}
	}
	return events
}

// finalLine returns the last line of a request's history that says what became of the request
// itself: the end of its endpoint's process is found out beside it.
func finalLine(history []Line) Line {
	for _, line := range slices.Backward(history) {
		if !isGatewayEvent[savorypinevent.Kind(line.Kind)] {
			return line
		}
	}
	return history[len(history)-1]
}

// summarize says how a request ended and why, and how long it waited.
func summarize(history []Line) string {
	return summarizeEnd(history) + summarizeWait(history)
}

// summarizeWait says how a request waited for an endpoint with room, if a line reports it.
func summarizeWait(history []Line) string {
	for _, line := range slices.Backward(history) {
		if savorypinevent.Kind(line.Kind) != savorypinevent.KindStreamWaited {
			continue
		}
		text := fmt.Sprintf("; it waited %s ms for an endpoint of %s with room, at priority %s, and %s",
			line.Value("wait"), line.Value("service"), line.Value("priority"), line.Value("outcome"))
		if reason := line.Value("reason"); reason != "" {
			text += fmt.Sprintf(" (%s), with %s streams waiting", reason, line.Value("length"))
		}
		return text
	}
	return ""
}

// summarizeEnd says how a request ended and why.
func summarizeEnd(history []Line) string {
	last := finalLine(history)
	switch savorypinevent.Kind(last.Kind) {
	case savorypinevent.KindRequestRefused:
		return summarizeRefusal(history, last)
	case savorypinevent.KindRequestUnanswered:
		return fmt.Sprintf("the gateway had no response after %s ms and ended the connection: %s", last.Value("age"), last.Value("err"))
	case savorypinevent.KindStreamFailed:
		return fmt.Sprintf("the stream failed after event %s and %s attempts: %s",
			orNone(last.Value("event")), last.Value("attempts"), last.Value("err"))
	case savorypinevent.KindCallerLeft:
		return fmt.Sprintf("the caller left after %s ms, at event %s", last.Value("age"), orNone(last.Value("event")))
	case savorypinevent.KindStreamCompleted:
		return fmt.Sprintf("the stream completed in %s ms: first event after %s ms, longest pause %s ms, %s attempts",
			last.Value("age"), last.Value("first"), last.Value("longestPause"), last.Value("attempts"))
	case savorypinevent.KindRequestAnswered:
		return fmt.Sprintf("the endpoint %s answered %s after %s ms and %s attempts",
			last.Value("endpoint"), last.Value("status"), last.Value("age"), last.Value("attempts"))
	default:
		return fmt.Sprintf("the log ends with %q: the gateway %s may have been killed, or lines were left out", last.Kind, last.Gateway)
	}
}

// summarizeRefusal says with which error of its own the gateway answered, either without
// having run the request or after it got no complete response from an endpoint. It also
// says how the stream failed and how the last attempt at an endpoint ended, if there were
// any.
func summarizeRefusal(history []Line, last Line) string {
	text := fmt.Sprintf("the gateway answered with an error of its own, status %s: %s; configuration %s, confirmed %s ms before, %s endpoints, %s of them suspect",
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

// Write writes the report as text.
func (r RequestReport) Write(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s: %s\n\nhistory\n", r.ID, r.Summary)
	start := r.History[0].At
	for _, line := range r.History {
		writeLine(&text, start, line)
	}
	if len(r.SubjectEvents) > 0 {
		fmt.Fprintf(&text, "\ncrashes and quarantine of the part or the request, at all gateways\n")
		for _, line := range r.SubjectEvents {
			writeLine(&text, start, line)
		}
	}
	fmt.Fprintf(&text, "\nstate changes at its gateways, from %s before\n", eventLookback)
	for _, line := range r.GatewayEvents {
		writeLine(&text, start, line)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// writeLine writes a line with its time relative to the request's first line.
func writeLine(w io.Writer, start time.Duration, line Line) {
	fmt.Fprintf(w, "  %+9.3f s  %-20s %-22s", (line.At - start).Seconds(), line.Gateway, line.Kind)
	for _, f := range line.Fields {
		if f.Name != "id" {
			fmt.Fprintf(w, " %s=%s", f.Name, f.Value)
		}
	}
	fmt.Fprintln(w)
}
