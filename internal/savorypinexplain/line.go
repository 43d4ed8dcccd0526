// Package savorypinexplain reads the logs of gateways and reports what happened to a
// request at all of them.
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

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// ErrNoLines means that a log contains no line of a gateway.
var ErrNoLines = errors.New("log contains no gateway lines")

// Field is a named value of a log line.
type Field struct {
	Name  string
	Value string
}

// Line is one line of a gateway's log.
type Line struct {
	// At is when the line was written: the time that the log collector put in front of
	// the line, otherwise the line's own time since the Unix epoch.
	At time.Duration
	// Fields are the fields other than time, level, msg and gateway, in the order of
	// the line.
	Fields  []Field
	Gateway string
	Kind    string
	Level   string
}

// Value returns the value of a field, or "" if the line has no such field.
func (l Line) Value(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Int returns the value of a field as an integer, or 0 if it is missing or not an
// integer.
func (l Line) Int(name string) int64 {
	n, err := strconv.ParseInt(l.Value(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Read reads the gateway lines of a log and skips lines of other programs. A log
// collector may put a time in seconds in front of each line. It replaces the time in
// the line, because the gateway's clock may be wrong. Read returns ErrNoLines if the
// log contains no gateway line.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Text()); ok {
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

// parseLine parses one line. It returns false if the line is not from a gateway.
func parseLine(text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	var line Line
	decoder := logfmt.NewDecoder(strings.NewReader(text[start:]))
	if !decoder.ScanRecord() {
		return Line{}, false
	}
	for decoder.ScanKeyval() {
		line.setField(string(decoder.Key()), string(decoder.Value()))
	}
	if decoder.Err() != nil || line.Kind == "" || line.Gateway == "" {
		return Line{}, false
	}
	if prefix := strings.Fields(text[:start]); len(prefix) > 0 {
		if seconds, err := strconv.ParseFloat(prefix[0], 64); err == nil {
			line.At = time.Duration(seconds * float64(time.Second))
		}
	}
	return line, true
}

// setField stores a field of the log line.
func (l *Line) setField(name, value string) {
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
