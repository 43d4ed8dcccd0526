// Package savorypinlanguage parses the operators' query and command language.
// docs/operators/language.md describes it by examples.
package savorypinlanguage

import (
	"errors"
	"fmt"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// MaxLength is the maximum length of a statement, in bytes.
const MaxLength = 4096

// Statement is one line of the language. Exactly one field is set.
type Statement struct {
	Count    *Count    `parser:"  'count' @@"`
	Drain    *Drain    `parser:"| 'drain' @@"`
	Explain  *Explain  `parser:"| 'explain' @@"`
	Go       *Named    `parser:"| 'go' @@"`
	Hasten   *Hasten   `parser:"| 'hasten' @@"`
	Help     bool      `parser:"| @'help'"`
	Hold     *Named    `parser:"| 'hold' @@"`
	Limit    *Limit    `parser:"| 'limit' @@"`
	Move     *Move     `parser:"| 'move' @@"`
	Rollback *Named    `parser:"| 'rollback' @@"`
	Show     *Show     `parser:"| 'show' @@"`
	Stop     *Stop     `parser:"| 'stop' @@"`
	Undrain  *Drain    `parser:"| 'undrain' @@"`
	Wait     *WaitStmt `parser:"| 'wait' @@"`
}

// Word is a name, number, time or quoted text with its position in the statement.
type Word struct {
	Pos  lexer.Position
	Text string `parser:"@(Word | String)"`
}

// Show queries the rows of a subject.
type Show struct {
	Subject Word         `parser:"@@"`
	Where   []*Condition `parser:"('where' @@ ('and' @@)*)?"`
	Sort    *Sort        `parser:"('sort' 'by' @@)?"`
	Limit   *Word        `parser:"('limit' @@)?"`
}

// Count queries the number of rows of a subject.
type Count struct {
	Subject Word         `parser:"@@"`
	Where   []*Condition `parser:"('where' @@ ('and' @@)*)?"`
	By      *Word        `parser:"('by' @@)?"`
}

// Condition compares a field with a value.
type Condition struct {
	Field    Word   `parser:"@@"`
	Operator string `parser:"@Operator"`
	Value    Word   `parser:"@@"`
}

// Sort orders rows by a field.
type Sort struct {
	Field      Word `parser:"@@"`
	Descending bool `parser:"(@'desc' | 'asc')?"`
}

// Move orders a move of traffic.
type Move struct {
	Service Word  `parser:"@@"`
	From    Word  `parser:"'from' @@"`
	To      Word  `parser:"'to' @@"`
	Name    *Word `parser:"('as' @@)?"`
	Start   *Word `parser:"('start' @@)?"`
	By      *Word `parser:"(  'by' @@"`
	In      *Word `parser:" | 'in' @@ )"`
}

// Hasten sets an earlier deadline for a move.
type Hasten struct {
	Move Word  `parser:"@@"`
	By   *Word `parser:"(  'by' @@"`
	In   *Word `parser:" | 'in' @@ )"`
}

// Named is the name of a move that a statement acts on. Error messages print the names
// of these types as what the parser expected.
type Named struct {
	Name Word `parser:"@@"`
}

// Stop orders a planned stop of a member, or of all members of a failure
// domain.
type Stop struct {
	Domain *Word `parser:"(  'domain' @@"`
	Member *Word `parser:" | @@ )"`
}

// Drain begins or ends the drain of an endpoint.
type Drain struct {
	Endpoint Word `parser:"@@"`
}

// Limit changes the limits of an organisation.
type Limit struct {
	Organisation Word       `parser:"@@"`
	Settings     []*Setting `parser:"@@+"`
}

// Setting is the new value of one limit.
type Setting struct {
	Field Word `parser:"@@"`
	Value Word `parser:"'=' @@"`
}

// Explain queries the reason of a decision.
type Explain struct {
	Move    *Word `parser:"(  'move' @@"`
	Share   *Word `parser:" | 'share' @@"`
	Refusal *Word `parser:" | 'refusals' @@ )"`
}

// WaitStmt waits until a move is done or a member has stopped.
type WaitStmt struct {
	Move *Word `parser:"(  'move' @@"`
	Stop *Word `parser:" | 'stop' @@ )"`
	For  *Word `parser:"('for' @@)?"`
}

// Error is an error at a column of a statement.
type Error struct {
	column  int
	message string
}

// Errorf returns an error at the position of a word.
func Errorf(w Word, format string, args ...any) *Error {
	return &Error{column: w.Pos.Column, message: fmt.Sprintf(format, args...)}
}

// Column returns the column, counted from 1.
func (e *Error) Column() int {
	return e.column
}

// Error returns the text of the error.
func (e *Error) Error() string {
	return fmt.Sprintf("column %d: %s", e.column, e.message)
}

var parser = participle.MustBuild[Statement](
	participle.CaseInsensitive("Word"),
	participle.Elide("Space"),
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Space", Pattern: `\s+`},
		{Name: "String", Pattern: `"[^"]*"`},
		{Name: "Operator", Pattern: `!=|<=|>=|=|<|>|~`},
		{Name: "Word", Pattern: `[A-Za-z0-9_][A-Za-z0-9._/:+@-]*`},
	})),
	participle.Unquote("String"),
	participle.UseLookahead(2),
)

// Parse parses one statement. All errors are of type *Error.
func Parse(text string) (*Statement, error) {
	if len(text) > MaxLength {
		return nil, &Error{column: MaxLength, message: "statement is too long"}
	}
	statement, err := parser.ParseString("", text)
	if err == nil {
		return statement, nil
	}
	var parseErr participle.Error
	if errors.As(err, &parseErr) {
		return nil, &Error{column: max(1, parseErr.Position().Column), message: parseErr.Message()}
	}
	return nil, &Error{column: 1, message: err.Error()}
}
