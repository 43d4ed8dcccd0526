package savorypingateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypingossip"
)

var _ = Describe("The places that a queue is offered", func() {
	at := time.Unix(1000, 0)
	// Guards against gateways that start a stream for each report that shows the same free place.
	It("are the new ones, and all of them once the other gateways could have taken them", func() {
		q := &streamQueue{}
		for _, c := range []struct {
			after        time.Duration
			rivals       rivals
			places, news int
		}{
			{0, rivals{}, 3, 3},
			{10 * time.Millisecond, rivals{others: 1}, 3, 0},
			{20 * time.Millisecond, rivals{others: 1}, 5, 2},
			{30 * time.Millisecond, rivals{}, 1, 0},
			{40 * time.Millisecond, rivals{}, 2, 1},
			{placeVisibility, rivals{}, 2, 2},
			{placeVisibility + time.Millisecond, rivals{}, 2, 0},
			// More urgent streams at other gateways have the new places, and time for the others.
			{placeVisibility + 2*time.Millisecond, rivals{moreUrgent: 1}, 4, 0},
			{3 * placeVisibility, rivals{moreUrgent: 1}, 4, 0},
			{5 * placeVisibility, rivals{moreUrgent: 1}, 4, 4},
		} {
			Expect(q.newPlaces(c.places, c.rivals, at.Add(c.after))).To(Equal(c.news), "after %s", c.after)
		}
	})

	It("are shared with the live gateways where streams of the service wait", func() {
		var p peersWaiting
		p.set("a", []savorypingossip.ServiceWaiting{{Priority: 1, Service: "llm"}, {Service: "other"}})
		p.set("b", []savorypingossip.ServiceWaiting{{Priority: 0, Service: "llm"}})
		p.set("c", nil)
		Expect(p.rivals("llm", 1)).To(Equal(rivals{moreUrgent: 1, others: 1}))
		Expect(p.rivals("llm", 0)).To(Equal(rivals{others: 2}))
		p.retain(map[string]bool{"b": true})
		Expect(p.rivals("llm", 1)).To(Equal(rivals{moreUrgent: 1}))
		Expect(p.rivals("other", 1)).To(Equal(rivals{}))
	})

	// Guards against gateways without attempts of their own, such as one that has just started, whose
	// streams never get the places that the others leave.
	It("are left to other gateways now and then, more often to more urgent streams", func() {
		random := rand.New(rand.NewPCG(1, 2))
		yields := func(r rivals) int {
			n := 0
			for range 1000 {
				if r.yield(random.Float64()) {
					n++
				}
			}
			return n
		}
		Expect(yields(rivals{})).To(BeZero())
		Expect(yields(rivals{others: 3})).To(BeNumerically("~", 125, 40))
		Expect(yields(rivals{moreUrgent: 1, others: 3})).To(BeNumerically("~", 250, 50))
	})
})

var _ = Describe("The requests that were refused lately", func() {
	It("are known once, and bounded", func() {
		var r recentSubjects
		ask := func(s savorypinfleet.Subject) bool { return r.take(func() savorypinfleet.Subject { return s }) }
		r.add(7)
		Expect(ask(8)).To(BeFalse())
		Expect(ask(7)).To(BeTrue())
		Expect(ask(7)).To(BeFalse())
		for i := range 10 * maxRecentSubjects {
			r.add(savorypinfleet.Subject(i))
		}
		Expect(len(r.latest) + len(r.earlier)).To(BeNumerically("<=", 2*maxRecentSubjects))
		Expect(ask(10*maxRecentSubjects - 1)).To(BeTrue())
		Expect(ask(0)).To(BeFalse())
	})

	// Guards against the cost of hashing each request while none was refused.
	It("are not asked for while there are none", func() {
		var r recentSubjects
		Expect(r.take(func() savorypinfleet.Subject { panic("hashed") })).To(BeFalse())
	})
})

var _ = Describe("A waiting request under a later configuration", func() {
	configuration := func(kind savorypinfleet.RouteKind, service, key string) *savorypinfleet.Configuration {
		return savorypinfleet.NewConfiguration(savorypinfleet.ConfigurationSpec{
			Organisations: []savorypinfleet.Organisation{{Keys: []string{key}, Name: "shops"}},
			Routes: []*savorypinfleet.Route{savorypinfleet.NewRoute(savorypinfleet.RouteConfig{
				Host: "h", Kind: kind, Name: "drafts", Prefix: "/drafts/", Shares: []savorypinfleet.Share{{Service: service, Weight: 1}},
			})},
			Version: 2,
		})
	}
	for _, c := range []struct {
		name   string
		uri    string
		next   *savorypinfleet.Configuration
		status int
	}{
		{"that has its route, key and service waits on", "/drafts/a?b", configuration(savorypinfleet.RouteStreaming, "llm", "key"), 0},
		{"without its route is refused", "/other/", configuration(savorypinfleet.RouteStreaming, "llm", "key"), http.StatusNotFound},
		{"without its key is refused", "/drafts/", configuration(savorypinfleet.RouteStreaming, "llm", "next"), http.StatusUnauthorized},
		{"with another service is refused as not run", "/drafts/", configuration(savorypinfleet.RouteStreaming, "next", "key"), http.StatusServiceUnavailable},
		{"with a route of another kind is refused as not run", "/drafts/", configuration(savorypinfleet.RouteSafe, "llm", "key"), http.StatusServiceUnavailable},
	} {
		It(c.name, func() {
			g := &Gateway{}
			g.settings.Store(&Settings{})
			req := &request{
				call:    &savorypinfleet.Call{APIKey: "key", Host: "h", URI: c.uri},
				service: savorypinfleet.NewService(savorypinfleet.ServiceConfig{Name: "llm"}),
			}
			refused := g.refusalBy(&snapshot{configuration: c.next}, req)
			if c.status == 0 {
				Expect(refused).To(BeNil())
				return
			}
			Expect(refused.status).To(Equal(c.status))
			Expect(refused.retryAfter > 0).To(Equal(c.status == http.StatusServiceUnavailable))
		})
	}
})
