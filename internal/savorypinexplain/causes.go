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

// Cause is why some requests ended as they did.
type Cause struct {
	// First and Last are when the first and the last of the requests ended.
	First, Last time.Duration
	// Name says how and why.
	Name string
	// Requests is their number.
	Requests int64
}

// Causes counts why requests ended as they did, the most frequent cause first.
// Requests whose lines end without an end were lost with their gateways. Lines that
// the logs left out are counted by their kind; routine ends are among them.
func Causes(lines []Line) []Cause {
	byName := map[string]*Cause{}
	count := func(name string, at time.Duration, n int64) {
		c := byName[name]
		if c == nil {
			c = &Cause{First: at, Last: at, Name: name}
			byName[name] = c
		}
		c.First, c.Last = min(c.First, at), max(c.Last, at)
		c.Requests += n
	}
	for _, history := range histories(lines) {
		last := history[len(history)-1]
		count(causeName(last), last.At, 1)
	}
	for _, line := range lines {
		if savorypinevent.Kind(line.Kind) == savorypinevent.KindLinesLeftOut {
			count("left out of the log: "+line.Value("of"), line.At, line.Number("count"))
		}
	}
	causes := make([]Cause, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		causes = append(causes, *byName[name])
	}
	slices.SortStableFunc(causes, func(a, b Cause) int { return cmp.Compare(b.Requests, a.Requests) })
	return causes
}

// histories returns the lines of each request, in the order of their times.
func histories(lines []Line) map[string][]Line {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
	byID := map[string][]Line{}
	for _, line := range sorted {
		if id := line.Value("id"); id != "" && !beliefs[savorypinevent.Kind(line.Kind)] {
			byID[id] = append(byID[id], line)
		}
	}
	return byID
}

// causeName names the cause of a request's end by its last line.
func causeName(last Line) string {
	switch savorypinevent.Kind(last.Kind) {
	case savorypinevent.KindRequestRefused:
		return fmt.Sprintf("refused with %s: %s", last.Value("status"), last.Value("reason"))
	case savorypinevent.KindStreamFailed:
		return "stream failed: " + outermost(last.Value("err"))
	case savorypinevent.KindRequestAnswered:
		return "answered " + last.Value("status")
	case savorypinevent.KindStreamCompleted:
		return "stream completed after " + attempts(last.Number("attempts"))
	case savorypinevent.KindCallerLeft:
		return "caller left"
	default:
		return "no end: the gateway was lost, or lines were left out"
	}
}

func attempts(n int64) string {
	if n > 1 {
		return "more attempts than one"
	}
	return "one attempt"
}

// outermost returns an error without the addresses and numbers of what it wraps.
func outermost(err string) string {
	text, _, _ := strings.Cut(err, ": ")
	if i := strings.IndexAny(text, "0123456789"); i > 0 {
		text = text[:i]
	}
	return strings.TrimSpace(text)
}

// WriteCauses writes causes as a table, with times since the first line.
func WriteCauses(w io.Writer, causes []Cause) error {
	start, all := time.Duration(0), int64(0)
	for i, c := range causes {
		if i == 0 || c.First < start {
			start = c.First
		}
		all += c.Requests
	}
	table := tablewriter.NewWriter(w)
	table.Header("requests", "share", "from s", "to s", "cause")
	for _, c := range causes {
		seconds := func(at time.Duration) string { return strconv.FormatFloat((at - start).Seconds(), 'f', 1, 64) }
		share := strconv.FormatFloat(float64(c.Requests)/float64(max(1, all)), 'f', 3, 64)
		if err := table.Append(strconv.FormatInt(c.Requests, 10), share, seconds(c.First), seconds(c.Last), c.Name); err != nil {
			return fmt.Errorf("write causes: %w", err)
		}
	}
	if err := table.Render(); err != nil {
		return fmt.Errorf("write causes: %w", err)
	}
	return nil
}
