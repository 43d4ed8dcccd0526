package savorypingateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against requests that a stopping gateway passes on and cuts off when it exits, since it weighed
// them by the average of all, or not at all; and against refusals of those that it could have answered.
var _ = Describe("A new request at a gateway that is shutting down", func() {
	const (
		ms    = time.Millisecond
		grace = 8 * time.Second
	)
	for _, c := range []struct {
		name string
		// slowest is zero if it is unknown.
		slowest, deadline time.Duration
		repeatable        bool
		// accepted lists the times since the stop at which the request is accepted, refused those at
		// which it isn't.
		accepted, refused []time.Duration
	}{
		{"that is due before the exit, of an unknown kind", 0, 3 * time.Second, false, []time.Duration{500 * ms, 2500 * ms, 3500 * ms, 4300 * ms}, []time.Duration{4500 * ms, 7 * time.Second}},
		{"that is due before the exit, though others took longer", time.Minute, 3 * time.Second, false, []time.Duration{500 * ms, 3500 * ms}, nil},
		{"of an unknown kind, due after the exit", 0, 10 * time.Second, false, []time.Duration{500 * ms, 2400 * ms}, []time.Duration{2500 * ms, 3400 * ms}},
		{"that is short", 460 * ms, 25 * time.Second, false, []time.Duration{500 * ms, 3500 * ms, 6 * time.Second}, []time.Duration{7 * time.Second}},
		{"that takes 5 s", 5 * time.Second, 25 * time.Second, false, []time.Duration{500 * ms, 2300 * ms}, []time.Duration{2450 * ms, 2600 * ms, 3400 * ms}},
		{"that may take 6.5 s", 6500 * ms, 25 * time.Second, false, []time.Duration{500 * ms}, []time.Duration{1500 * ms, 2500 * ms, 3500 * ms}},
		{"that takes longer than the grace period", 20 * time.Second, 25 * time.Second, false, nil, []time.Duration{10 * ms, 500 * ms, 1500 * ms, 3500 * ms}},
		{"that may take 6.5 s and be repeated", 6500 * ms, 25 * time.Second, true, []time.Duration{500 * ms, 2 * time.Second, 2400 * ms}, []time.Duration{2500 * ms, 3500 * ms}},
	} {
		decide := func(sinceStop time.Duration) bool {
			return stopAdmission{
				deadline: c.deadline, known: c.slowest > 0, left: grace - stopMargin - sinceStop, repeatable: c.repeatable, sinceStop: sinceStop,
				slowest: c.slowest,
			}.accepts()
		}
		for _, at := range c.accepted {
			It(c.name+" is accepted after "+at.String(), func() { Expect(decide(at)).To(BeTrue()) })
		}
		for _, at := range c.refused {
			It(c.name+" is refused after "+at.String(), func() { Expect(decide(at)).To(BeFalse()) })
		}
	}

	It("is accepted late in a long grace period if it can finish, and refused near its end", func() {
		decide := func(sinceStop time.Duration) bool {
			return stopAdmission{
				deadline: time.Hour, known: true, left: time.Minute - stopMargin - sinceStop, sinceStop: sinceStop, slowest: 6 * time.Second,
			}.accepts()
		}
		Expect(decide(5 * time.Second)).To(BeTrue())
		Expect(decide(50 * time.Second)).To(BeFalse())
	})
})

// outcomes counts what becomes of requests that come at a time since the stop, whose durations lie evenly
// between two bounds.
type outcomes struct{ served, refused, cut int }

// Guards against late requests that are cut off, and shows what earlier ones pay for it.
var _ = Describe("Of a hundred requests at a gateway that is shutting down", func() {
	const (
		ms    = time.Millisecond
		grace = 8 * time.Second
		n     = 100
	)
	for _, c := range []struct {
		name              string
		fastest, slowest  time.Duration
		deadline          time.Duration
		known, repeatable bool
		// at 0.5, 1.5, 2.5 and 3.5 s after the stop
		want [4]outcomes
	}{
		{"short streams", 300 * ms, 460 * ms, 25 * time.Second, true, true, [4]outcomes{{n, 0, 0}, {n, 0, 0}, {n, 0, 0}, {n, 0, 0}}},
		{"long streams", 4 * time.Second, 6500 * ms, 25 * time.Second, true, true, [4]outcomes{{n, 0, 0}, {76, 0, 24}, {0, n, 0}, {0, n, 0}}},
		{"long streams that can't be resumed", 4 * time.Second, 6500 * ms, 25 * time.Second, true, false, [4]outcomes{{n, 0, 0}, {0, n, 0}, {0, n, 0}, {0, n, 0}}},
		{"short unsafe requests", 60 * ms, 300 * ms, 3 * time.Second, true, false, [4]outcomes{{n, 0, 0}, {n, 0, 0}, {n, 0, 0}, {n, 0, 0}}},
		{"long unsafe requests of an unknown kind", 4 * time.Second, 6 * time.Second, 10 * time.Second, false, false, [4]outcomes{{n, 0, 0}, {95, 0, 5}, {0, n, 0}, {0, n, 0}}},
	} {
		It("those that are "+c.name+" are served, refused or cut off by when they come", func() {
			for i, sinceStop := range []time.Duration{500 * ms, 1500 * ms, 2500 * ms, 3500 * ms} {
				left := grace - stopMargin - sinceStop
				accepted := stopAdmission{deadline: c.deadline, known: c.known, left: left, repeatable: c.repeatable, sinceStop: sinceStop, slowest: c.slowest}.accepts()
				var got outcomes
				for j := range n {
					duration := c.fastest + (c.slowest-c.fastest)*time.Duration(j)/(n-1)
					switch {
					case !accepted:
						got.refused++
					case duration <= left:
						got.served++
					default:
						got.cut++
					}
				}
				Expect(got).To(Equal(c.want[i]), sinceStop.String())
			}
		})
	}
})
