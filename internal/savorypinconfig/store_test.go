package savorypinconfig_test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
)

func service(name string, version int64, deleted bool) savorypin.Object {
	return savorypin.Object{
		Deleted: deleted,
		Key:     savorypin.Key{Kind: savorypin.KindService, Name: name},
		Spec:    json.RawMessage(`{"type":"plain"}`),
		Version: version,
	}
}

var _ = Describe("Store", func() {
	It("never replaces a version by an older one, in whatever order writes arrive", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.IntRange(1, 20).Draw(t, "writes")
			var history []savorypin.Object
			newest := map[string]savorypin.Object{}
			for i := range n {
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				o := service(name, int64(i+1), rapid.Bool().Draw(t, "deleted"))
				history = append(history, o)
				newest[name] = o
			}
			store := savorypinconfig.NewStore()
			seen := map[savorypin.Key]int64{}
			deliveries := rapid.Permutation(append(history, history...)).Draw(t, "deliveries")
			for len(deliveries) > 0 {
				batch := rapid.IntRange(1, len(deliveries)).Draw(t, "batch")
				store.Apply(deliveries[:batch]...)
				deliveries = deliveries[batch:]
				for key, version := range store.Versions() {
					if version < seen[key] {
						t.Fatalf("the version of %s went back from %d to %d", key, seen[key], version)
					}
					seen[key] = version
				}
			}
			expected := savorypinconfig.NewStore()
			for name, o := range newest {
				expected.Apply(o)
				_, exists := store.Snapshot().Service(name)
				if exists == o.Deleted {
					t.Fatalf("service %s exists: %v, contrary to its newest write", name, exists)
				}
			}
			if expected.Snapshot().Digest() != store.Snapshot().Digest() {
				t.Fatal("digests of the same configuration differ")
			}
		})
	})

	It("ignores a delayed copy of a deleted object", func() {
		store := savorypinconfig.NewStore()
		store.Apply(service("a", 2, true))
		Expect(store.Apply(service("a", 1, false))).To(BeEmpty())
		_, ok := store.Snapshot().Service("a")
		Expect(ok).To(BeFalse())
	})
})
