// Package savorypinquery answers the queries of the operators' language from
// what daemons report.
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
	number   float64
	numeric  bool
	text     string
	multiple []string
}

// Text returns a value of text.
func Text(s string) Value {
	return Value{text: s}
}

// Number returns a value that is compared by size.
func Number(n float64) Value {
	return Value{number: n, numeric: true, text: strconv.FormatFloat(n, 'f', -1, 64)}
}

// Bool returns yes or no.
func Bool(b bool) Value {
	if b {
		return Text("yes")
	}
	return Text("no")
}

// Names returns a value that equals each of several names.
func Names(names []string) Value {
	return Value{multiple: names, text: strings.Join(names, " ")}
}

// String returns the text of the value.
func (v Value) String() string {
	return v.text
}

// compare orders values: numbers by size, the rest by text.
func (v Value) compare(o Value) int {
	if v.numeric && o.numeric {
		return cmp.Compare(v.number, o.number)
	}
	return cmp.Compare(v.text, o.text)
}

// equals reports whether the value is, or has among its names, o.
func (v Value) equals(o Value) bool {
	if v.multiple != nil {
		return slices.Contains(v.multiple, o.text)
	}
	return v.compare(o) == 0
}

// Table is rows of values under named columns.
type Table struct {
	columns []string
	rows    [][]Value
}

// NewTable returns a table without rows.
func NewTable(columns ...string) *Table {
	return &Table{columns: columns}
}

// Add adds a row.
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

// Records returns the rows as one map for each, for scripts.
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

// column returns the index of the column that a word names.
func (t *Table) column(w savorypinlanguage.Word) (int, error) {
	i := slices.Index(t.columns, strings.ToLower(w.Text))
	if i < 0 {
		return 0, savorypinlanguage.Errorf(w, "no field %q; there are %s", w.Text, strings.Join(t.columns, ", "))
	}
	return i, nil
}

// Filter returns the rows that meet all conditions.
func (t *Table) Filter(conditions []*savorypinlanguage.Condition) (*Table, error) {
	out := NewTable(t.columns...)
	out.rows = t.rows
	for _, c := range conditions {
		i, err := t.column(c.Field)
		if err != nil {
			return nil, err
		}
		want := literal(c.Value.Text)
		out.rows = slices.DeleteFunc(slices.Clone(out.rows), func(row []Value) bool {
			return !holds(row[i], c.Operator, want)
		})
	}
	return out, nil
}

// literal returns the value that a word states.
func literal(s string) Value {
	if n, err := strconv.ParseFloat(s, 64); err == nil {
		v := Number(n)
		v.text = s
		return v
	}
	return Text(s)
}

func holds(have Value, operator string, want Value) bool {
	switch operator {
	case "!=":
		return !have.equals(want)
	case "<":
		return have.compare(want) < 0
	case "<=":
		return have.compare(want) <= 0
	case "=":
		return have.equals(want)
	case ">":
		return have.compare(want) > 0
	case ">=":
		return have.compare(want) >= 0
	default:
		return strings.Contains(have.text, want.text)
	}
}

// Sort returns the rows in the order of a field.
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

// Limit returns the first rows.
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

// Count returns the number of rows, for each value of a field if one is given.
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
		if row[i].multiple == nil {
			counts[row[i].text]++
		}
		for _, name := range row[i].multiple {
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
