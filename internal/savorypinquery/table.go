// Package savorypinquery answers queries of the operators' language from the state that
// daemons report.
package savorypinquery

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"savorypin/internal/savorypinlanguage"
)

// Value is one cell of a table.
type Value struct {
	number  float64
	numeric bool
	text    string
	names   []string
}

// Text returns a text value.
func Text(s string) Value {
	return Value{text: s}
}

// Number returns a numeric value.
func Number(n float64) Value {
	return Value{number: n, numeric: true, text: strconv.FormatFloat(n, 'f', -1, 64)}
}

// Bool returns the text value "yes" or "no".
func Bool(b bool) Value {
	if b {
		return Text("yes")
	}
	return Text("no")
}

// Names returns a value that equals each of the given names.
func Names(names []string) Value {
	return Value{names: names, text: strings.Join(names, " ")}
}

// String returns the text of the value.
func (v Value) String() string {
	return v.text
}

// compare compares two numbers by size, and other values by their text.
func (v Value) compare(o Value) int {
	if v.numeric && o.numeric {
		return cmp.Compare(v.number, o.number)
	}
	return cmp.Compare(v.text, o.text)
}

// equals reports whether the value, or one of its names, equals o.
func (v Value) equals(o Value) bool {
	if v.names != nil {
		return slices.Contains(v.names, o.text)
	}
	return v.compare(o) == 0
}

// Table is a table of values with named columns.
type Table struct {
	columns []string
	rows    [][]Value
}

// NewTable returns a table without rows.
func NewTable(columns ...string) *Table {
	return &Table{columns: columns}
}

// Add appends a row. It must have a value for each column.
func (t *Table) Add(row ...Value) {
	t.rows = append(t.rows, row)
}

// Columns returns the names of the columns.
func (t *Table) Columns() []string {
	return t.columns
}

// Rows returns the rows.
func (t *Table) Rows() [][]Value {
	return t.rows
}

// Records returns each row as a map from column to text, for JSON and YAML output.
func (t *Table) Records() []map[string]string {
	records := []map[string]string{}
	for _, row := range t.rows {
		record := map[string]string{}
		for i, v := range row {
			record[t.columns[i]] = v.String()
		}
		records = append(records, record)
	}
	return records
}

// column returns the index of the column that a word names, ignoring case.
func (t *Table) column(w savorypinlanguage.Word) (int, error) {
	i := slices.Index(t.columns, strings.ToLower(w.Text))
	if i < 0 {
		return 0, savorypinlanguage.Errorf(w, "no field %q; the fields are %s", w.Text, strings.Join(t.columns, ", "))
	}
	return i, nil
}

// Filter returns a table of the rows that satisfy all conditions.
func (t *Table) Filter(conditions []*savorypinlanguage.Condition) (*Table, error) {
	out := NewTable(t.columns...)
	out.rows = t.rows
	for _, c := range conditions {
		i, err := t.column(c.Field)
		if err != nil {
			return nil, err
		}
		operand := parseLiteral(c.Value.Text)
		out.rows = slices.DeleteFunc(slices.Clone(out.rows), func(row []Value) bool {
			return !satisfies(row[i], c.Operator, operand)
		})
	}
	return out, nil
}

// parseLiteral returns the value of a word in a condition. It keeps the text of a number
// as written, for comparisons by text.
func parseLiteral(s string) Value {
	if n, err := strconv.ParseFloat(s, 64); err == nil {
		v := Number(n)
		v.text = s
		return v
	}
	return Text(s)
}

// satisfies reports whether a value satisfies a condition.
func satisfies(value Value, operator string, operand Value) bool {
	switch operator {
	case "!=":
		return !value.equals(operand)
	case "<":
		return value.compare(operand) < 0
	case "<=":
		return value.compare(operand) <= 0
	case "=":
		return value.equals(operand)
	case ">":
		return value.compare(operand) > 0
	case ">=":
		return value.compare(operand) >= 0
	default:
		return strings.Contains(value.text, operand.text)
	}
}

// Sort returns a table of the rows sorted by a field. Rows with equal values keep their
// order.
func (t *Table) Sort(by *savorypinlanguage.Sort) (*Table, error) {
	if by == nil {
		return t, nil
	}
	i, err := t.column(by.Field)
	if err != nil {
		return nil, err
	}
	out := NewTable(t.columns...)
	out.rows = slices.Clone(t.rows)
	slices.SortStableFunc(out.rows, func(a, b []Value) int {
		if by.Descending {
			return b[i].compare(a[i])
		}
		return a[i].compare(b[i])
	})
	return out, nil
}

// Limit returns a table of the first n rows.
func (t *Table) Limit(n *savorypinlanguage.Word) (*Table, error) {
	if n == nil {
		return t, nil
	}
	limit, err := strconv.Atoi(n.Text)
	if err != nil || limit < 0 {
		return nil, savorypinlanguage.Errorf(*n, "%q is not a number of rows", n.Text)
	}
	out := NewTable(t.columns...)
	out.rows = t.rows[:min(limit, len(t.rows))]
	return out, nil
}

// Count returns the number of rows, or the number for each value of a field if one is
// given. A row with several names counts for each of them.
func (t *Table) Count(by *savorypinlanguage.Word) (*Table, error) {
	if by == nil {
		out := NewTable("count")
		out.Add(Number(float64(len(t.rows))))
		return out, nil
	}
	i, err := t.column(*by)
	if err != nil {
		return nil, err
	}
	counts := map[string]int{}
	for _, row := range t.rows {
		if row[i].names == nil {
			counts[row[i].text]++
		}
		for _, name := range row[i].names {
			counts[name]++
		}
	}
	out := NewTable(t.columns[i], "count")
	for _, name := range sortedKeys(counts) {
		out.Add(Text(name), Number(float64(counts[name])))
	}
	return out, nil
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
