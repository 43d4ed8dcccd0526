package savorypinplacement_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinplacement"
	"savorypin/internal/savorypinplatform"
)

func endpoint(name, domain string, loaded ...string) savorypinplacement.Endpoint {
	return savorypinplacement.Endpoint{Domain: domain, Loaded: loaded, MaxVersions: 2, Name: name, Usable: true}
}

var _ = Describe("Decide", func() {
	v1 := savorypinplacement.Version{InUse: true, Name: "v1", Replicas: 2}
	v2 := savorypinplacement.Version{Name: "v2", Replicas: 1}
	drained := endpoint("e1", "d1", "v1")
	drained.WantDrained = true
	role := endpoint("e1", "d1", "v1")
	role.WantRole = "prefill"
	for _, tc := range []struct {
		name      string
		versions  []savorypinplacement.Version
		endpoints []savorypinplacement.Endpoint
		want      []savorypinplacement.Step
	}{
		{
			"loads a missing copy in another failure domain",
			[]savorypinplacement.Version{v1},
			[]savorypinplacement.Endpoint{endpoint("e1", "d1", "v1"), endpoint("e2", "d1"), endpoint("e3", "d2")},
			[]savorypinplacement.Step{{Action: savorypinplacement.ActionLoad, Endpoint: "e3", Version: "v1"}},
		},
		{
			"makes room for a new version",
			[]savorypinplacement.Version{v1, v2},
			[]savorypinplacement.Endpoint{endpoint("e1", "d1", "v1", "v0"), endpoint("e2", "d2", "v1", "v0")},
			[]savorypinplacement.Step{{Action: savorypinplacement.ActionUnload, Endpoint: "e1", Version: "v0"}},
		},
		{
			"keeps versions in use where there is no room",
			[]savorypinplacement.Version{v1, {InUse: true, Name: "v0"}, v2},
			[]savorypinplacement.Endpoint{endpoint("e1", "d1", "v1", "v0"), endpoint("e2", "d2", "v1")},
			[]savorypinplacement.Step{{Action: savorypinplacement.ActionLoad, Endpoint: "e2", Version: "v2"}},
		},
		{
			"drains where operators want it, and replaces the copy",
			[]savorypinplacement.Version{v1},
			[]savorypinplacement.Endpoint{drained, endpoint("e2", "d2", "v1"), endpoint("e3", "d3")},
			[]savorypinplacement.Step{
				{Action: savorypinplacement.ActionDrain, Endpoint: "e1"},
				{Action: savorypinplacement.ActionLoad, Endpoint: "e3", Version: "v1"},
			},
		},
		{
			"changes a role",
			[]savorypinplacement.Version{{Name: "v1"}},
			[]savorypinplacement.Endpoint{role},
			[]savorypinplacement.Step{{Action: savorypinplacement.ActionRole, Endpoint: "e1", Role: "prefill"}},
		},
	} {
		It(tc.name, func() {
			Expect(savorypinplacement.Decide(tc.versions, tc.endpoints)).To(Equal(tc.want))
		})
	}

	It("reaches what is wanted, one step an endpoint, and never drops a version in use", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var endpoints []savorypinplacement.Endpoint
			for i := range rapid.IntRange(4, 12).Draw(t, "endpoints") {
				loaded := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"v0", "v1"}), 0, 2, rapid.ID).Draw(t, "loaded")
				endpoints = append(endpoints, endpoint(fmt.Sprint("e", i), fmt.Sprint("d", i%3), loaded...))
			}
			endpoints[0].Loaded = []string{"v1"}
			versions := []savorypinplacement.Version{
				{InUse: true, Name: "v1", Replicas: rapid.IntRange(1, 3).Draw(t, "v1")},
				{Name: "v2", Replicas: rapid.IntRange(0, 3).Draw(t, "v2")},
			}
			for range 2 * len(endpoints) {
				steps := savorypinplacement.Decide(versions, endpoints)
				apply(t, endpoints, steps)
				if copies(endpoints, "v1") == 0 {
					t.Fatal("no copy of the version in use is left")
				}
			}
			for _, v := range versions {
				if copies(endpoints, v.Name) < v.Replicas {
					t.Fatalf("%d copies of %s of %d", copies(endpoints, v.Name), v.Name, v.Replicas)
				}
			}
		})
	})
})

// apply carries out steps and checks that no endpoint gets two.
func apply(t *rapid.T, endpoints []savorypinplacement.Endpoint, steps []savorypinplacement.Step) {
	seen := map[string]bool{}
	for _, s := range steps {
		if seen[s.Endpoint] {
			t.Fatalf("two steps for %s", s.Endpoint)
		}
		seen[s.Endpoint] = true
		i := slices.IndexFunc(endpoints, func(e savorypinplacement.Endpoint) bool { return e.Name == s.Endpoint })
		loaded := slices.DeleteFunc(slices.Clone(endpoints[i].Loaded), func(v string) bool { return v == s.Version })
		if s.Action == savorypinplacement.ActionLoad {
			loaded = append(loaded, s.Version)
		}
		if len(loaded) > endpoints[i].MaxVersions {
			t.Fatalf("%s has no room", s.Endpoint)
		}
		endpoints[i].Loaded = loaded
	}
}

func copies(endpoints []savorypinplacement.Endpoint, version string) int {
	n := 0
	for _, e := range endpoints {
		if slices.Contains(e.Loaded, version) {
			n++
		}
	}
	return n
}

var _ = Describe("Slots", func() {
	It("bounds the loads under way and frees those that were not given back", func() {
		ctx := context.Background()
		now := time.Unix(1000, 0)
		var held *savorypin.Object
		write := func(_ context.Context, o savorypin.Object) (savorypin.Object, error) {
			held = &o
			return o, nil
		}
		slots := savorypinplacement.NewSlots(savorypinplacement.SlotsConfig{
			Create: write,
			Get: func(context.Context, savorypin.Key) (savorypin.Object, error) {
				if held == nil {
					return savorypin.Object{}, savorypinplatform.ErrNotFound
				}
				return *held, nil
			},
			Limit:   2,
			Now:     func() time.Time { return now },
			Timeout: time.Minute,
			Update:  write,
		})
		Expect(slots.Acquire(ctx, "e1")).To(Succeed())
		Expect(slots.Acquire(ctx, "e2")).To(Succeed())
		Expect(slots.Acquire(ctx, "e3")).To(MatchError(savorypinplacement.ErrNoSlot))
		Expect(slots.Release(ctx, "e1")).To(Succeed())
		Expect(slots.Acquire(ctx, "e3")).To(Succeed())
		now = now.Add(2 * time.Minute)
		Expect(slots.Acquire(ctx, "e4")).To(Succeed())
	})
})
