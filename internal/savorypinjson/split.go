// Package savorypinjson splits JSON documents into their members and elements without decoding
// them. Unlike encoding/json it has no limit on nesting, so that one element that can't be decoded
// doesn't hide the others.
package savorypinjson

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ErrSyntax means that a document isn't an object or an array.
var ErrSyntax = errors.New("malformed JSON")

// Members returns the values of an object by their names. The values aren't validated.
func Members(data []byte) (map[string]json.RawMessage, error) {
	s := &scanner{data: data}
	members := map[string]json.RawMessage{}
	err := s.list('{', '}', func() error {
		raw, err := s.value()
		if err != nil {
			return err
		}
		var name string
		if err := json.Unmarshal(raw, &name); err != nil {
			return s.fail("a name")
		}
		if s.next() != ':' {
			return s.fail("a colon")
		}
		s.pos++
		members[name], err = s.value()
		return err
	})
	return members, err
}

// Elements returns the elements of an array. They aren't validated.
func Elements(data []byte) ([]json.RawMessage, error) {
	s := &scanner{data: data}
	var elements []json.RawMessage
	err := s.list('[', ']', func() error {
		element, err := s.value()
		elements = append(elements, element)
		return err
	})
	return elements, err
}

// scanner is a position in a document.
type scanner struct {
	data []byte
	pos  int
}

func (s *scanner) fail(expected string) error {
	return fmt.Errorf("%w: no %s at byte %d", ErrSyntax, expected, s.pos)
}

// next skips white space and returns the byte at the position; zero at the end.
func (s *scanner) next() byte {
	for s.pos < len(s.data) {
		switch c := s.data[s.pos]; c {
		case ' ', '\t', '\r', '\n':
			s.pos++
		default:
			return c
		}
	}
	return 0
}

// list reads what is between two delimiters: items that are separated by commas.
func (s *scanner) list(begin, end byte, item func() error) error {
	if s.next() != begin {
		return s.fail(string(begin))
	}
	s.pos++
	if s.next() == end {
		s.pos++
		return s.finish()
	}
	for {
		if err := item(); err != nil {
			return err
		}
		switch s.next() {
		case ',':
			s.pos++
		case end:
			s.pos++
			return s.finish()
		default:
			return s.fail("comma or " + string(end))
		}
	}
}

// finish checks that nothing follows.
func (s *scanner) finish() error {
	if s.next(); s.pos < len(s.data) {
		return s.fail("end")
	}
	return nil
}

// value returns the value at the position and skips it.
func (s *scanner) value() (json.RawMessage, error) {
	s.next()
	start, depth := s.pos, 0
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case '"':
			if err := s.skipString(); err != nil {
				return nil, err
			}
		case '{', '[':
			depth++
			s.pos++
		case '}', ']', ',':
			if depth == 0 {
				return s.since(start)
			}
			if s.data[s.pos] != ',' {
				depth--
			}
			s.pos++
		case ':':
			if depth == 0 {
				return s.since(start)
			}
			s.pos++
		default:
			s.pos++
		}
	}
	if depth > 0 {
		return nil, s.fail("end of a value")
	}
	return s.since(start)
}

// since returns what was skipped since a position.
func (s *scanner) since(start int) (json.RawMessage, error) {
	if s.pos == start {
		return nil, s.fail("value")
	}
	return s.data[start:s.pos], nil
}

// skipString skips the string that begins at the position.
func (s *scanner) skipString() error {
	for s.pos++; s.pos < len(s.data); s.pos++ {
		switch s.data[s.pos] {
		case '\\':
			s.pos++
		case '"':
			s.pos++
			return nil
		}
	}
	return s.fail("end of a string")
}
