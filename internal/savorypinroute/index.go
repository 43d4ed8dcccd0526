package savorypinroute

import (
	"savorypin/internal/savorypinmembership"
)

// groupKey identifies a group of endpoints that can serve the same requests.
type groupKey struct {
	service string
	version string
}

// group holds the usable targets of a service and version.
type group struct {
	all     []*target
	regions map[string][]*target
}

// index holds the usable endpoints of a view of the members. It is immutable; a
// new one replaces it.
type index struct {
	// entries holds the number of live entries by region.
	entries map[string]int
	groups  map[groupKey]*group
	// prefill holds the total prefill rate by service, in tokens per second.
	prefill map[string]float64
	view    *savorypinmembership.View
}

func newIndex(view *savorypinmembership.View) *index {
	return &index{
		entries: map[string]int{},
		groups:  map[groupKey]*group{},
		prefill: map[string]float64{},
		view:    view,
	}
}

func (x *index) add(region string, t *target) {
	g := x.groups[t.key]
	if g == nil {
		g = &group{regions: map[string][]*target{}}
		x.groups[t.key] = g
	}
	g.all = append(g.all, t)
	g.regions[region] = append(g.regions[region], t)
}
