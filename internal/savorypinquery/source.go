package savorypinquery

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinlanguage"
)

// Member is a member as the queried daemon sees it.
type Member struct {
	Health   string                `json:"health"`
	LastSeen time.Time             `json:"heard"`
	State    savorypin.MemberState `json:"state"`
}

// Generation is a generation that an entry relays.
type Generation struct {
	Attempt   int    `json:"attempt"`
	Delivered int    `json:"delivered"`
	Entry     string `json:"-"`
	Finished  bool   `json:"finished"`
	ID        string `json:"id"`
	Service   string `json:"service"`
	Version   string `json:"version"`
}

// Source is the state that queries are answered from. The caller fills its fields with
// what daemons reported.
type Source struct {
	// At is when the daemons were queried.
	At time.Time
	// Generations are the generations that the entries relay. Only queries about
	// generations need them.
	Generations []Generation
	// Members are the members that the queried daemon knows.
	Members []Member
	// Objects are the objects in force at the queried daemon.
	Objects []savorypin.Object
}

// subject is a table that queries can name, with the function that builds it.
type subject struct {
	build func(*Source) *Table
	name  string
}

// subjects are the subjects of queries, sorted by name.
var subjects = []subject{
	{build: (*Source).domains, name: "domains"},
	{build: (*Source).endpoints, name: "endpoints"},
	{build: (*Source).generations, name: "generations"},
	{build: (*Source).members, name: "hosts"},
	{build: (*Source).members, name: "members"},
	{build: (*Source).moves, name: "moves"},
	{build: (*Source).organisations, name: "organisations"},
	{build: (*Source).regions, name: "regions"},
	{build: (*Source).routes, name: "routes"},
	{build: (*Source).services, name: "services"},
	{build: (*Source).versions, name: "versions"},
}

// Subjects returns the sorted names of the subjects of queries.
func Subjects() []string {
	var names []string
	for _, s := range subjects {
		names = append(names, s.name)
	}
	return names
}

// Table returns the table of a subject, or an error at the word if there is no such
// subject.
func (s *Source) Table(name savorypinlanguage.Word) (*Table, error) {
	for _, subject := range subjects {
		if subject.name == strings.ToLower(name.Text) {
			return subject.build(s), nil
		}
	}
	return nil, savorypinlanguage.Errorf(name, "can't show %q; the subjects are %s", name.Text, strings.Join(Subjects(), ", "))
}

// Show returns the rows that a query selects.
func (s *Source) Show(q *savorypinlanguage.Show) (*Table, error) {
	t, err := s.Table(q.Subject)
	if err != nil {
		return nil, err
	}
	if t, err = t.Filter(q.Where); err != nil {
		return nil, err
	}
	if t, err = t.Sort(q.Sort); err != nil {
		return nil, err
	}
	return t.Limit(q.Limit)
}

// Count returns the numbers of rows that a query asks for.
func (s *Source) Count(q *savorypinlanguage.Count) (*Table, error) {
	t, err := s.Table(q.Subject)
	if err != nil {
		return nil, err
	}
	if t, err = t.Filter(q.Where); err != nil {
		return nil, err
	}
	return t.Count(q.By)
}

func (s *Source) members() *Table {
	t := NewTable("name", "role", "domain", "region", "health", "draining", "applied", "age", "endpoints", "http")
	for _, m := range s.Members {
		t.Add(Text(m.State.Name), Text(string(m.State.Role)), Text(m.State.Domain), Text(m.State.Region),
			Text(m.Health), Bool(m.State.Draining), Number(float64(m.State.Applied.Version)),
			Number(s.At.Sub(m.LastSeen).Truncate(time.Millisecond).Seconds()),
			Number(float64(len(m.State.Endpoints))), Text(m.State.HTTP))
	}
	return t
}

func (s *Source) endpoints() *Table {
	t := NewTable("name", "type", "service", "versions", "healthy", "running", "waiting", "slots",
		"role", "drained", "member", "domain", "region", "health")
	for _, m := range s.Members {
		for _, e := range m.State.Endpoints {
			t.Add(Text(e.Name), Text(string(e.Type)), Text(e.Service), Names(e.Versions), Bool(e.Healthy),
				Number(float64(e.Running)), Number(float64(e.Waiting)), Number(float64(e.Slots)),
				Text(e.Role), Bool(e.Drained), Text(m.State.Name), Text(m.State.Domain), Text(m.State.Region), Text(m.Health))
		}
	}
	return t
}

// memberTotals holds the totals of the members of a failure domain or region.
type memberTotals struct {
	endpoints, live, members, running, waiting int
	region                                     string
}

// totalsBy returns the totals of the members for each value of key.
func (s *Source) totalsBy(key func(savorypin.MemberState) string) map[string]*memberTotals {
	totals := map[string]*memberTotals{}
	for _, m := range s.Members {
		sums := totals[key(m.State)]
		if sums == nil {
			sums = &memberTotals{region: m.State.Region}
			totals[key(m.State)] = sums
		}
		sums.members++
		if m.Health == "live" {
			sums.live++
		}
		for _, e := range m.State.Endpoints {
			sums.endpoints++
			sums.running += e.Running
			sums.waiting += e.Waiting
		}
	}
	return totals
}

func (s *Source) domains() *Table {
	t := NewTable("name", "region", "members", "live", "endpoints", "running", "waiting")
	totals := s.totalsBy(func(m savorypin.MemberState) string { return m.Domain })
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		sums := totals[name]
		t.Add(Text(name), Text(sums.region), Number(float64(sums.members)), Number(float64(sums.live)),
			Number(float64(sums.endpoints)), Number(float64(sums.running)), Number(float64(sums.waiting)))
	}
	return t
}

func (s *Source) regions() *Table {
	t := NewTable("name", "members", "live", "endpoints", "running", "waiting")
	totals := s.totalsBy(func(m savorypin.MemberState) string { return m.Region })
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		sums := totals[name]
		t.Add(Text(name), Number(float64(sums.members)), Number(float64(sums.live)),
			Number(float64(sums.endpoints)), Number(float64(sums.running)), Number(float64(sums.waiting)))
	}
	return t
}

func (s *Source) generations() *Table {
	t := NewTable("id", "service", "version", "entry", "attempt", "delivered", "finished")
	for _, g := range s.Generations {
		t.Add(Text(g.ID), Text(g.Service), Text(g.Version), Text(g.Entry),
			Number(float64(g.Attempt)), Number(float64(g.Delivered)), Bool(g.Finished))
	}
	return t
}

// eachObject calls visit for each object of a kind, sorted by name. It skips objects
// whose spec does not decode.
func eachObject[T any](s *Source, kind savorypin.Kind, visit func(o savorypin.Object, spec T)) {
	objects := slices.Clone(s.Objects)
	slices.SortFunc(objects, func(a, b savorypin.Object) int { return strings.Compare(a.Name, b.Name) })
	for _, o := range objects {
		var spec T
		if o.Kind == kind && json.Unmarshal(o.Spec, &spec) == nil {
			visit(o, spec)
		}
	}
}

func (s *Source) moves() *Table {
	t := NewTable("name", "service", "from", "to", "state", "share", "action", "by", "reason", "version")
	eachObject(s, savorypin.KindMove, func(o savorypin.Object, spec savorypin.MoveSpec) {
		status := savorypin.MoveStatus{State: savorypin.MovePending}
		if len(o.Status) > 0 {
			// A status that does not decode is shown as pending.
			_ = json.Unmarshal(o.Status, &status)
		}
		t.Add(Text(o.Name), Text(spec.Service), Text(spec.From), Text(spec.To), Text(string(status.State)),
			Number(status.Share), Text(string(spec.Action)), Text(spec.By.Format(time.RFC3339)),
			Text(status.Reason), Number(float64(o.Version)))
	})
	return t
}

func (s *Source) organisations() *Table {
	t := NewTable("name", "concurrency", "requests", "tokens", "weight", "version")
	eachObject(s, savorypin.KindOrganisation, func(o savorypin.Object, spec savorypin.OrganisationSpec) {
		t.Add(Text(o.Name), Number(float64(spec.Concurrency)), Number(spec.RequestsPerSecond),
			Number(spec.TokensPerSecond), Number(spec.Weight), Number(float64(o.Version)))
	})
	return t
}

func (s *Source) routes() *Table {
	t := NewTable("name", "service", "route", "path", "idempotent", "version")
	eachObject(s, savorypin.KindRoute, func(o savorypin.Object, spec savorypin.RouteSpec) {
		t.Add(Text(o.Name), Text(spec.Service), Text(spec.Route), Text(spec.Path), Bool(spec.Idempotent),
			Number(float64(o.Version)))
	})
	return t
}

func (s *Source) services() *Table {
	t := NewTable("name", "type", "serves", "resume", "endpoints", "healthy", "version")
	eachObject(s, savorypin.KindService, func(o savorypin.Object, spec savorypin.ServiceSpec) {
		total, healthy := 0, 0
		for _, m := range s.Members {
			for _, e := range m.State.Endpoints {
				if e.Service != o.Name {
					continue
				}
				total++
				if e.Healthy && m.Health == "live" {
					healthy++
				}
			}
		}
		t.Add(Text(o.Name), Text(string(spec.Type)), Text(spec.Version), Text(string(spec.Resume)),
			Number(float64(total)), Number(float64(healthy)), Number(float64(o.Version)))
	})
	return t
}

func (s *Source) versions() *Table {
	t := NewTable("name", "service", "model", "adapter", "replicas", "loaded", "version")
	eachObject(s, savorypin.KindVersion, func(o savorypin.Object, spec savorypin.VersionSpec) {
		loaded := 0
		for _, m := range s.Members {
			for _, e := range m.State.Endpoints {
				if slices.Contains(e.Versions, o.Name) {
					loaded++
				}
			}
		}
		t.Add(Text(o.Name), Text(spec.Service), Text(spec.Model), Text(spec.Adapter),
			Number(float64(spec.Replicas)), Number(float64(loaded)), Number(float64(o.Version)))
	})
	return t
}
