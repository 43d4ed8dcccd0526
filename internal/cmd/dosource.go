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

// stateTimeout bounds the question for the state of one daemon.
const stateTimeout = 2 * time.Second

// stateDump is the part of a state dump that queries need.
type stateDump struct {
	Members  []savorypinquery.Member    `json:"members"`
	Sections map[string]json.RawMessage `json:"sections"`
	Self     savorypin.MemberState      `json:"self"`
}

// answers is what daemons reported, and which of them did not.
type answers struct {
	asked  string
	dumps  []stateDump
	silent []string
	source savorypinquery.Source
}

// ask asks the entry what it knows.
func (c *Config) ask(ctx context.Context) (*answers, error) {
	var dump stateDump
	if err := c.operatorCall(ctx, http.MethodGet, "/state", nil, &dump); err != nil {
		return nil, err
	}
	var objects []apiObject
	if err := c.operatorCall(ctx, http.MethodGet, "/operator/v1/objects", nil, &objects); err != nil {
		return nil, err
	}
	a := &answers{asked: dump.Self.Name, dumps: []stateDump{dump}}
	a.source = savorypinquery.Source{At: time.Now(), Members: dump.Members}
	for _, o := range objects {
		a.source.Objects = append(a.source.Objects, savorypin.Object{
			Key:     savorypin.Key{Kind: savorypin.Kind(o.Kind), Name: o.Name},
			Spec:    o.Spec,
			Status:  o.Status,
			Version: o.Version,
		})
	}
	return a, nil
}

// askEntries asks every entry for its state and notes those that don't answer.
func (c *Config) askEntries(ctx context.Context) (*answers, error) {
	a, err := c.ask(ctx)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range a.source.Members {
		if m.State.Role != savorypin.RoleEntry || m.State.Name == a.asked {
			continue
		}
		wg.Go(func() {
			dump, err := c.askMember(ctx, m.State.HTTP)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				a.silent = append(a.silent, m.State.Name)
				return
			}
			a.dumps = append(a.dumps, dump)
		})
	}
	wg.Wait()
	slices.Sort(a.silent)
	for _, dump := range a.dumps {
		a.source.Generations = append(a.source.Generations, dump.generations()...)
	}
	return a, nil
}

func (c *Config) askMember(ctx context.Context, address string) (stateDump, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	other := *c
	other.entry = "http://" + address
	var dump stateDump
	err := other.operatorCall(ctx, http.MethodGet, "/state", nil, &dump)
	return dump, err
}

// generations returns the generations that a daemon relays.
func (d stateDump) generations() []savorypinquery.Generation {
	var section struct {
		Generations []savorypinquery.Generation `json:"generations"`
	}
	// A daemon of another release may have no such section.
	_ = json.Unmarshal(d.Sections["entry"], &section)
	for i := range section.Generations {
		section.Generations[i].Entry = d.Self.Name
	}
	return section.Generations
}

// object returns an object in force and the version that it has.
func (a *answers) object(kind savorypin.Kind, name string) (savorypin.Object, error) {
	for _, o := range a.source.Objects {
		if o.Kind == kind && o.Name == name {
			return o, nil
		}
	}
	return savorypin.Object{}, savorypin.Errorf(savorypin.KindNotFound, string(kind)+"/"+name, "no such object")
}

// freshness says how old the answer is and who did not answer.
func (a *answers) freshness() string {
	oldest := time.Duration(0)
	var suspects []string
	for _, m := range a.source.Members {
		if m.Health != "live" {
			suspects = append(suspects, m.State.Name+" "+m.Health)
			continue
		}
		if m.State.Name != a.asked {
			oldest = max(oldest, a.source.At.Sub(m.Heard))
		}
	}
	text := fmt.Sprintf("as of %s; live members reported within the last %s", a.asked, oldest.Truncate(time.Millisecond))
	if len(suspects) > 0 {
		text += "; not live: " + strings.Join(suspects, ", ")
	}
	if len(a.silent) > 0 {
		text += "; did not answer: " + strings.Join(a.silent, ", ")
	}
	return text
}

func (c *Config) show(ctx context.Context, q *savorypinlanguage.Show) error {
	a, err := c.askFor(ctx, q.Subject)
	if err != nil {
		return err
	}
	table, err := a.source.Show(q)
	if err != nil {
		return err
	}
	return c.printTable(table, a)
}

func (c *Config) count(ctx context.Context, q *savorypinlanguage.Count) error {
	a, err := c.askFor(ctx, q.Subject)
	if err != nil {
		return err
	}
	table, err := a.source.Count(q)
	if err != nil {
		return err
	}
	return c.printTable(table, a)
}

// askFor asks as many daemons as a subject needs.
func (c *Config) askFor(ctx context.Context, subject savorypinlanguage.Word) (*answers, error) {
	if strings.EqualFold(subject.Text, "generations") {
		return c.askEntries(ctx)
	}
	return c.ask(ctx)
}

// printTable prints a table for people, or records for scripts.
func (c *Config) printTable(t *savorypinquery.Table, a *answers) error {
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
	_, err := fmt.Fprintln(c.stdout, a.freshness())
	return err
}
