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
	toDrain := endpoint("e1", "d1", "v1")
	toDrain.WantDrained = true
	toChangeRole := endpoint("e1", "d1", "v1")
	toChangeRole.WantRole = "prefill"
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
			"unloads an unused version to make room for a new one",
			[]savorypinplacement.Version{v1, v2},
			[]savorypinplacement.Endpoint{endpoint("e1", "d1", "v1", "v0"), endpoint("e2", "d2", "v1", "v0")},
			[]savorypinplacement.Step{{Action: savorypinplacement.ActionUnload, Endpoint: "e1", Version: "v0"}},
		},
		{
			"unloads no version in use to make room",
			[]savorypinplacement.Version{v1, {InUse: true, Name: "v0"}, v2},
			[]savorypinplacement.Endpoint{endpoint("e1", "d1", "v1", "v0"), endpoint("e2", "d2", "v1")},
			[]savorypinplacement.Step{{Action: savorypinplacement.ActionLoad, Endpoint: "e2", Version: "v2"}},
		},
		{
			"drains an endpoint for the operators and replaces its copy",
			[]savorypinplacement.Version{v1},
			[]savorypinplacement.Endpoint{toDrain, endpoint("e2", "d2", "v1"), endpoint("e3", "d3")},
			[]savorypinplacement.Step{
				{Action: savorypinplacement.ActionDrain, Endpoint: "e1"},
				{Action: savorypinplacement.ActionLoad, Endpoint: "e3", Version: "v1"},
			},
		},
		{
			"changes the role of an endpoint",
			[]savorypinplacement.Version{{Name: "v1"}},
			[]savorypinplacement.Endpoint{toChangeRole},
			[]savorypinplacement.Step{{Action: savorypinplacement.ActionRole, Endpoint: "e1", Role: "prefill"}},
		},
	} {
		It(tc.name, func() {
			Expect(savorypinplacement.Decide(tc.versions, tc.endpoints)).To(Equal(tc.want))
		})
	}

	It("reaches the wanted replicas with one step per endpoint and keeps a copy of a version in use", func() {
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
				applySteps(t, endpoints, steps)
				if copies(endpoints, "v1") == 0 {
					t.Fatal("no copy of the version in use is left")
				}
			}
			for _, v := range versions {
				if copies(endpoints, v.Name) < v.Replicas {
					t.Fatalf("%d copies of %s, want at least %d", copies(endpoints, v.Name), v.Name, v.Replicas)
				}
			}
		})
	})
})

// applySteps applies steps to endpoints and checks that no endpoint gets two steps or
// more versions than fit.
func applySteps(t *rapid.T, endpoints []savorypinplacement.Endpoint, steps []savorypinplacement.Step) {
	ordered := map[string]bool{}
	for _, s := range steps {
		if ordered[s.Endpoint] {
			t.Fatalf("two steps for %s", s.Endpoint)
		}
		ordered[s.Endpoint] = true
		i := slices.IndexFunc(endpoints, func(e savorypinplacement.Endpoint) bool { return e.Name == s.Endpoint })
		loaded := slices.DeleteFunc(slices.Clone(endpoints[i].Loaded), func(v string) bool { return v == s.Version })
		if s.Action == savorypinplacement.ActionLoad {
			loaded = append(loaded, s.Version)
		}
		if len(loaded) > endpoints[i].MaxVersions {
			t.Fatalf("endpoint %s has no room for the version", s.Endpoint)
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

var _ = Describe("LoadSlots", func() {
	It("limits the concurrent loads and frees slots that were not released in time", func() {
		ctx := context.Background()
		now := time.Unix(1000, 0)
		var stored *savorypin.Object
		write := func(_ context.Context, o savorypin.Object) (savorypin.Object, error) {
			stored = &o
			return o, nil
		}
		slots := savorypinplacement.NewLoadSlots(savorypinplacement.LoadSlotsConfig{
			Create: write,
			Get: func(context.Context, savorypin.Key) (savorypin.Object, error) {
				if stored == nil {
					return savorypin.Object{}, savorypinplatform.ErrNotFound
				}
				return *stored, nil
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
