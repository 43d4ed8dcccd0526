package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinlanguage"
	"savorypin/internal/savorypinquery"
)

// stateTimeout limits the request for the state dump of one daemon.
const stateTimeout = 2 * time.Second

// stateDump is the part of a state dump that queries need.
type stateDump struct {
	Members  []savorypinquery.Member    `json:"members"`
	Sections map[string]json.RawMessage `json:"sections"`
	Self     savorypin.MemberState      `json:"self"`
}

// stateReport is the state that the queried daemons reported, and the names of those
// that could not be reached.
type stateReport struct {
	queriedMember string
	dumps         []stateDump
	unreachable   []string
	source        savorypinquery.Source
}

// queryEntry reads the state dump of the entry and the objects in force there.
func (c *Config) queryEntry(ctx context.Context) (*stateReport, error) {
	var dump stateDump
	if err := c.operatorCall(ctx, http.MethodGet, "/state", nil, &dump); err != nil {
		return nil, err
	}
	var objects []apiObject
	if err := c.operatorCall(ctx, http.MethodGet, "/operator/v1/objects", nil, &objects); err != nil {
		return nil, err
	}
	report := &stateReport{queriedMember: dump.Self.Name, dumps: []stateDump{dump}}
	report.source = savorypinquery.Source{At: time.Now(), Members: dump.Members}
	for _, o := range objects {
		report.source.Objects = append(report.source.Objects, savorypin.Object{
			Key:     savorypin.Key{Kind: savorypin.Kind(o.Kind), Name: o.Name},
			Spec:    o.Spec,
			Status:  o.Status,
			Version: o.Version,
		})
	}
	return report, nil
}

// queryAllEntries reads the state dumps of all entries and records those that could
// not be reached.
func (c *Config) queryAllEntries(ctx context.Context) (*stateReport, error) {
	report, err := c.queryEntry(ctx)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range report.source.Members {
		if m.State.Role != savorypin.RoleEntry || m.State.Name == report.queriedMember {
			continue
		}
		wg.Go(func() {
			dump, err := c.queryMember(ctx, m.State.HTTP)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				report.unreachable = append(report.unreachable, m.State.Name)
				return
			}
			report.dumps = append(report.dumps, dump)
		})
	}
	wg.Wait()
	slices.Sort(report.unreachable)
	for _, dump := range report.dumps {
		report.source.Generations = append(report.source.Generations, dump.generations()...)
	}
	return report, nil
}

func (c *Config) queryMember(ctx context.Context, address string) (stateDump, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	client := *c
	client.baseURL = "http://" + address
	var dump stateDump
	err := client.operatorCall(ctx, http.MethodGet, "/state", nil, &dump)
	return dump, err
}

// generations returns the generations that a daemon relays.
func (d stateDump) generations() []savorypinquery.Generation {
	var section struct {
		Generations []savorypinquery.Generation `json:"generations"`
	}
	// The section may be missing if the daemon runs another release.
	_ = json.Unmarshal(d.Sections["entry"], &section)
	for i := range section.Generations {
		section.Generations[i].Entry = d.Self.Name
	}
	return section.Generations
}

// findObject returns an object in force, or an error of KindNotFound.
func (r *stateReport) findObject(kind savorypin.Kind, name string) (savorypin.Object, error) {
	for _, o := range r.source.Objects {
		if o.Kind == kind && o.Name == name {
			return o, nil
		}
	}
	return savorypin.Object{}, savorypin.Errorf(savorypin.KindNotFound, string(kind)+"/"+name, "no such object")
}

// freshness describes how old the state is, and which members are not live or could
// not be reached.
func (r *stateReport) freshness() string {
	oldest := time.Duration(0)
	var notLive []string
	for _, m := range r.source.Members {
		if m.Health != "live" {
			notLive = append(notLive, m.State.Name+" "+m.Health)
			continue
		}
		if m.State.Name != r.queriedMember {
			oldest = max(oldest, r.source.At.Sub(m.LastSeen))
		}
	}
	text := fmt.Sprintf("as of %s; live members reported within the last %s", r.queriedMember, oldest.Truncate(time.Millisecond))
	if len(notLive) > 0 {
		text += "; not live: " + strings.Join(notLive, ", ")
	}
	if len(r.unreachable) > 0 {
		text += "; did not answer: " + strings.Join(r.unreachable, ", ")
	}
	return text
}

func (c *Config) show(ctx context.Context, q *savorypinlanguage.Show) error {
	report, err := c.querySubject(ctx, q.Subject)
	if err != nil {
		return err
	}
	table, err := report.source.Show(q)
	if err != nil {
		return err
	}
	return c.printTable(table, report)
}

func (c *Config) count(ctx context.Context, q *savorypinlanguage.Count) error {
	report, err := c.querySubject(ctx, q.Subject)
	if err != nil {
		return err
	}
	table, err := report.source.Count(q)
	if err != nil {
		return err
	}
	return c.printTable(table, report)
}

// querySubject queries the daemons that a subject needs: all entries for generations,
// otherwise only the given entry.
func (c *Config) querySubject(ctx context.Context, subject savorypinlanguage.Word) (*stateReport, error) {
	if strings.EqualFold(subject.Text, "generations") {
		return c.queryAllEntries(ctx)
	}
	return c.queryEntry(ctx)
}

// printTable prints a table with its freshness, or only the records as JSON or YAML.
func (c *Config) printTable(t *savorypinquery.Table, report *stateReport) error {
	if c.output != outputTable {
		return c.printData(t.Records())
	}
	rows := make([][]string, 0, len(t.Rows()))
	for _, row := range t.Rows() {
		var cells []string
		for _, v := range row {
			cells = append(cells, v.String())
		}
		rows = append(rows, cells)
	}
	if err := c.printRows(t.Columns(), rows); err != nil {
		return err
	}
	_, err := fmt.Fprintln(c.stdout, report.freshness())
	return err
}
