// Package savorypinexplain reads the logs of gateways and tells what happened to
// a request, in one account over all of them.
package savorypinexplain

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"savorypin/internal/savorypinevent"
)

// maxLineBytes bounds a line.
const maxLineBytes = 1 << 20

// ErrNoLines means that a log holds no line of a gateway.
var ErrNoLines = errors.New("no lines of a gateway")

// Field is a name with its value.
type Field struct {
	Name  string
	Value string
}

// Line is one line of a log.
type Line struct {
	// At is when the line was written.
	At time.Duration
	// Fields are the event's own fields, in the order of the line.
	Fields  []Field
	Gateway string
	Kind    string
	Level   string
}

// Value returns the value of a field; empty if the line has none of the name.
func (l Line) Value(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Number returns the value of a field that is a whole number; zero if it is
// none.
func (l Line) Number(name string) int64 {
	n, err := strconv.ParseInt(l.Value(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Read reads the lines of a log. Lines of other programs are passed over. What
// collects logs may put a time in seconds before each line; it then counts in
// place of the gateway's own, whose clock may be wrong.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	if len(lines) == 0 {
		return nil, ErrNoLines
	}
	return lines, nil
}

// parse reads one line. It returns false if the line is no gateway's.
func parse(text string) (Line, bool) {
	begin := strings.Index(text, "time=")
	if begin < 0 {
		return Line{}, false
	}
	var line Line
	decoder := logfmt.NewDecoder(strings.NewReader(text[begin:]))
	if !decoder.ScanRecord() {
		return Line{}, false
	}
	for decoder.ScanKeyval() {
		line.take(string(decoder.Key()), string(decoder.Value()))
	}
	if decoder.Err() != nil || line.Kind == "" || line.Gateway == "" {
		return Line{}, false
	}
	if prefix := strings.Fields(text[:begin]); len(prefix) > 0 {
		if seconds, err := strconv.ParseFloat(prefix[0], 64); err == nil {
			line.At = time.Duration(seconds * float64(time.Second))
		}
	}
	return line, true
}

// take takes over one field of the line.
func (l *Line) take(name, value string) {
	switch name {
	case "time":
		if at, err := time.Parse(savorypinevent.TimeFormat, value); err == nil {
			l.At = time.Duration(at.UnixNano())
		}
	case "level":
		l.Level = value
	case "msg":
		l.Kind = value
	case "gateway":
		l.Gateway = value
	default:
		l.Fields = append(l.Fields, Field{Name: name, Value: value})
	}
}
