package savorypinexplain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/olekukonko/tablewriter"

	"savorypin/internal/savorypinevent"
)

// Cause is one way in which requests ended, with the number of these requests.
type Cause struct {
	// First and Last are when the first and the last of these requests ended, on the clock
	// of Line.At.
	First, Last time.Duration
	// Name says how and why the requests ended.
	Name string
	// Requests is the number of requests that ended in this way. For lines that were left
	// out of a log it is the number of lines.
	Requests int64
}

// CountCauses counts requests by how and why they ended, the most frequent cause first.
// A request without a final line was lost with its gateway, or its final line was left
// out of the log. Lines that a gateway's rate limit left out are counted by kind. They
// include lines of requests that ended normally, and a request whose final line was left
// out may count twice.
func CountCauses(lines []Line) []Cause {
	byName := map[string]*Cause{}
	add := func(name string, at time.Duration, n int64) {
		c := byName[name]
		if c == nil {
			c = &Cause{First: at, Last: at, Name: name}
			byName[name] = c
		}
		c.First, c.Last = min(c.First, at), max(c.Last, at)
		c.Requests += n
	}
	for _, history := range historiesByID(lines) {
		last := finalLine(history)
		add(causeName(last), last.At, 1)
	}
	for _, line := range lines {
		if savorypinevent.Kind(line.Kind) == savorypinevent.KindLinesLeftOut {
			add("left out of the log: "+line.Value("of"), line.At, line.Int("count"))
		}
	}
	causes := make([]Cause, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		causes = append(causes, *byName[name])
	}
	slices.SortStableFunc(causes, func(a, b Cause) int { return cmp.Compare(b.Requests, a.Requests) })
	return causes
}

// historiesByID returns the lines of each request by its ID, in the order of their
// times, without the events of isGatewayEvent.
func historiesByID(lines []Line) map[string][]Line {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
	byID := map[string][]Line{}
	for _, line := range sorted {
		if id := line.Value("id"); id != "" && !isGatewayEvent[savorypinevent.Kind(line.Kind)] {
			byID[id] = append(byID[id], line)
		}
	}
	return byID
}

// causeName returns the cause of a request's end from the request's last line.
func causeName(last Line) string {
	switch savorypinevent.Kind(last.Kind) {
	case savorypinevent.KindRequestRefused:
		return fmt.Sprintf("refused with %s: %s", last.Value("status"), last.Value("reason"))
	case savorypinevent.KindRequestUnanswered:
		return "unanswered: " + outermostMessage(last.Value("err"))
	case savorypinevent.KindStreamFailed:
		return "stream failed: " + outermostMessage(last.Value("err"))
	case savorypinevent.KindRequestAnswered:
		return "answered " + last.Value("status")
	case savorypinevent.KindStreamCompleted:
		return "stream completed after " + describeAttempts(last.Int("attempts"))
	case savorypinevent.KindCallerLeft:
		return "caller left"
	default:
		return "no end: the gateway was lost, or lines were left out"
	}
}

func describeAttempts(n int64) string {
	if n > 1 {
		return "more attempts than one"
	}
	return "one attempt"
}

// outermostMessage returns the text of an error up to its first ": " or number. Without
// the wrapped errors and their addresses, errors of the same cause are counted together.
func outermostMessage(err string) string {
	text, _, _ := strings.Cut(err, ": ")
	if i := strings.IndexAny(text, "0123456789"); i > 0 {
		text = text[:i]
	}
	return strings.TrimSpace(text)
}

// WriteCauses writes causes as a table, with times in seconds since the earliest end.
func WriteCauses(w io.Writer, causes []Cause) error {
	start, total := time.Duration(0), int64(0)
	for i, c := range causes {
		if i == 0 || c.First < start {
			start = c.First
		}
		total += c.Requests
	}
	table := tablewriter.NewWriter(w)
	table.Header("requests", "share", "from s", "to s", "cause")
	for _, c := range causes {
		seconds := func(at time.Duration) string { return strconv.FormatFloat((at - start).Seconds(), 'f', 1, 64) }
		share := strconv.FormatFloat(float64(c.Requests)/float64(max(1, total)), 'f', 3, 64)
		if err := table.Append(strconv.FormatInt(c.Requests, 10), share, seconds(c.First), seconds(c.Last), c.Name); err != nil {
			return fmt.Errorf("write causes: %w", err)
		}
	}
	if err := table.Render(); err != nil {
		return fmt.Errorf("write causes: %w", err)
	}
	return nil
}
