package savorypinwhere

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/olekukonko/tablewriter"

	"savorypin/internal/savorypinpick"
)

// Render writes an answer as text.
func Render(w io.Writer, a Answer) error {
	for _, line := range a.lines() {
		if line[1] != "" {
			fmt.Fprintf(w, "%-13s %s\n", line[0], line[1])
		}
	}
	if len(a.Compared) > 0 {
		fmt.Fprintf(w, "\n%d of %d endpoints compared; the lowest score in %s is the best%s:\n", a.ComparedTotal, a.Candidates, a.unit(), a.marginText())
		if err := a.renderCompared(w); err != nil {
			return err
		}
		if more := a.ComparedTotal - len(a.Compared); more > 0 {
			fmt.Fprintf(w, "and %d more\n", more)
		}
	}
	renderList(w, "\nnot used:", a.heldLines())
	renderList(w, "\nages:", a.Ages.lines())
	renderList(w, "\nnotes:", a.Notes)
	return nil
}

// renderList writes a headline and lines, or nothing if there are none.
func renderList(w io.Writer, headline string, lines []string) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintln(w, headline)
	for _, line := range lines {
		fmt.Fprintln(w, "  "+line)
	}
}

// lines returns the names and values of single facts; an empty value stands for none.
func (a Answer) lines() [][2]string {
	return [][2]string{
		{"outcome", a.outcomeText()},
		{"endpoint", a.endpointText()},
		{"copy", oneOf(a.Copies)},
		{"gateway", a.Gateway},
		{"route", a.routeText()},
		{"service", a.serviceText()},
		{"organisation", a.Organisation},
		{"priority", a.priorityText()},
		{"reservation", a.memoryText()},
		{"deadline", a.deadlineText()},
		{"quarantine", a.quarantineText()},
		{"rollout", a.rolloutText()},
		{"stop", a.stopText()},
	}
}

func (a Answer) outcomeText() string {
	r := a.Refusal
	if r == nil {
		return string(a.Outcome)
	}
	text := string(a.Outcome)
	if r.Status != 0 {
		text += " with " + strconv.Itoa(r.Status)
	}
	text += ": " + r.Reason
	if r.RetryAfterNs > 0 {
		text += "; Retry-After " + formatDuration(r.RetryAfterNs)
	}
	return text
}

func (a Answer) endpointText() string {
	if len(a.Tied) > 1 {
		return fmt.Sprintf("%s, drawn from equal ones: %s", a.Endpoint, strings.Join(a.Tied, ", "))
	}
	return a.Endpoint
}

func (a Answer) routeText() string {
	if a.Route == "" {
		return ""
	}
	return a.Route + " (" + a.RouteKind + ")"
}

func (a Answer) serviceText() string {
	if len(a.Shares) == 0 {
		return a.Service
	}
	var shares []string
	for _, s := range a.Shares {
		shares = append(shares, s.Service+" "+strconv.FormatFloat(s.Weight, 'g', -1, 64))
	}
	return a.Service + ", drawn by weight: " + strings.Join(shares, ", ")
}

func (a Answer) priorityText() string {
	if a.Priority == nil {
		return ""
	}
	return fmt.Sprintf("rank %d (0 is the highest), %d at the engine", a.Priority.Rank, a.Priority.Engine)
}

func (a Answer) memoryText() string {
	if a.Memory == nil {
		return ""
	}
	return fmt.Sprintf("%d of the %d tokens of an engine", a.Memory.ReservedTokens, a.Memory.EngineTokens)
}

func (a Answer) deadlineText() string {
	d := a.Deadline
	if d == nil {
		return ""
	}
	text := fmt.Sprintf("takes %s or more, of %s", formatDuration(d.NeededNs), formatDuration(d.LeftNs))
	if d.Probe {
		text += "; sent to correct the forecast"
	}
	return text
}

func (a Answer) quarantineText() string {
	switch {
	case a.Quarantine == nil:
		return ""
	case a.Quarantine.Probe:
		return "sent as a probe"
	}
	return a.Quarantine.Subject
}

func (a Answer) rolloutText() string {
	if a.Rollout == nil {
		return ""
	}
	return fmt.Sprintf("%s side of the rollout of %s", a.Rollout.Side, a.Rollout.Version)
}

func (a Answer) stopText() string {
	if a.Stop == nil {
		return ""
	}
	return fmt.Sprintf("in progress for %s, exits in %s", formatDuration(a.Stop.SinceNs), formatDuration(a.Stop.LeftNs))
}

// plain reports whether the request is a plain one.
func (a Answer) plain() bool {
	return len(a.Compared) > 0 && len(a.Compared[0].Terms) > 0 && a.Compared[0].Terms[0].Name == savorypinpick.TermLatency
}

func (a Answer) unit() string {
	if a.plain() {
		return "milliseconds"
	}
	return "tokens"
}

func (a Answer) marginText() string {
	if a.Margin == 0 {
		return ""
	}
	return ", up to " + a.formatScore(a.Margin) + " more are equal"
}

func (a Answer) formatScore(score float64) string {
	if a.plain() {
		return strconv.FormatFloat(score/float64(time.Millisecond), 'f', 1, 64)
	}
	return strconv.FormatFloat(score, 'f', 0, 64)
}

func (a Answer) renderCompared(w io.Writer) error {
	header := []string{"endpoint", "score"}
	for _, t := range a.Compared[0].Terms {
		header = append(header, string(t.Name))
	}
	if !a.plain() {
		header = append(header, "reserved")
	}
	table := tablewriter.NewWriter(w)
	table.Header(header)
	for _, c := range a.Compared {
		row := []string{c.Endpoint, a.formatScore(c.Score)}
		for _, t := range c.Terms {
			row = append(row, a.formatScore(t.Score))
		}
		if !a.plain() {
			row = append(row, strconv.Itoa(c.ReservedTokens))
		}
		if err := table.Append(row); err != nil {
			return err
		}
	}
	return table.Render()
}

func (a Answer) heldLines() []string {
	var lines []string
	for _, h := range a.Held {
		line := h.Endpoint + ": " + h.Reason
		if h.WaitNs > 0 {
			line += ", for " + formatDuration(h.WaitNs)
		}
		lines = append(lines, line)
	}
	if more := a.HeldTotal - len(a.Held); more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return lines
}

func (a Ages) lines() []string {
	lines := []string{
		"list of endpoints: " + formatAge(a.EndpointsNs),
		"confirmation of the configuration: " + formatAge(a.ConfigurationNs),
	}
	for _, l := range a.Loads {
		lines = append(lines, "load of "+l.Gateway+": "+formatAge(l.AgeNs))
	}
	return lines
}

func formatAge(age *time.Duration) string {
	if age == nil {
		return "never received"
	}
	return formatDuration(*age)
}

// formatDuration returns a duration in whole milliseconds.
func formatDuration(d time.Duration) string {
	return d.Round(time.Millisecond).String()
}

// oneOf returns the only one of a list, or all of them.
func oneOf(list []string) string {
	if len(list) > 1 {
		return "one of " + strings.Join(list, ", ")
	}
	return strings.Join(list, "")
}
