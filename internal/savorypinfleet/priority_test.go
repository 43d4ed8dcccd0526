package savorypinfleet_test

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinfleet"
)

var _ = Describe("Priorities of streams", func() {
	route := func(service string, priority int, kind savorypinfleet.RouteKind, public bool) *savorypinfleet.Route {
		return savorypinfleet.NewRoute(savorypinfleet.RouteConfig{
			Kind: kind, Priority: priority, Public: public, Shares: []savorypinfleet.Share{{Service: service, Weight: 1}},
		})
	}
	streaming, plain := savorypinfleet.RouteStreaming, savorypinfleet.RouteSafe
	high := 0
	for _, c := range []struct {
		name   string
		orgs   []savorypinfleet.Organisation
		routes []*savorypinfleet.Route
		want   bool
	}{
		{"one route", nil, []*savorypinfleet.Route{route("llm", 2, streaming, false)}, false},
		{"two routes of one priority", nil, []*savorypinfleet.Route{route("llm", 2, streaming, false), route("llm", 2, streaming, false)}, false},
		{"two routes of two priorities", nil, []*savorypinfleet.Route{route("llm", 2, streaming, false), route("llm", 0, streaming, false)}, true},
		{"a route of plain requests", nil, []*savorypinfleet.Route{route("llm", 2, streaming, false), route("llm", 0, plain, false)}, false},
		{"a route to another service", nil, []*savorypinfleet.Route{route("llm", 2, streaming, false), route("other", 0, streaming, false)}, false},
		{"an organisation with a priority", []savorypinfleet.Organisation{{Name: "o", Priority: &high}}, []*savorypinfleet.Route{route("llm", 2, streaming, false)}, true},
		{"a public route", []savorypinfleet.Organisation{{Name: "o", Priority: &high}}, []*savorypinfleet.Route{route("llm", 2, streaming, true)}, false},
	} {
		It("are told apart by the routes and organisations that use the service: "+c.name, func() {
			cfg := savorypinfleet.NewConfiguration(savorypinfleet.ConfigurationSpec{Organisations: c.orgs, Routes: c.routes})
			Expect(cfg.HasPriorities("llm")).To(Equal(c.want))
		})
	}

	It("are ranked whatever their values, and an organisation's goes before its route's", func() {
		low := math.MaxInt
		cfg := savorypinfleet.NewConfiguration(savorypinfleet.ConfigurationSpec{
			Organisations: []savorypinfleet.Organisation{{Name: "batch", Keys: []string{"k"}, Priority: &low}},
			Routes:        []*savorypinfleet.Route{route("llm", -7, streaming, false), route("llm", 3, streaming, false)},
		})
		for want, priority := range []int{-7, 3, math.MaxInt} {
			Expect(cfg.PriorityRank("llm", priority)).To(Equal(want))
		}
		Expect(cfg.Priority(route("llm", 3, streaming, false), cfg.Organisation("k"))).To(Equal(low))
		Expect(cfg.Priority(route("llm", 3, streaming, false), nil)).To(Equal(3))
	})
})
