package savorypinconfig_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
)

// newDistributor returns a distributor without peers.
func newDistributor(store *savorypinconfig.Store) *savorypinconfig.Distributor {
	return savorypinconfig.NewDistributor(savorypinconfig.DistributorConfig{
		OnChange: func([]savorypin.Object) {},
		Now:      func() time.Time { return time.Unix(1_800_000_000, 0) },
		Peers:    func() []string { return nil },
		Store:    store,
		Synced:   func() bool { return false },
	})
}

var _ = Describe("Distributor", func() {
	It("brings two daemons to the newest version of each object and sends only what differs", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a, b, expected := savorypinconfig.NewStore(), savorypinconfig.NewStore(), savorypinconfig.NewStore()
			differing := 0
			for i := range rapid.IntRange(0, 60).Draw(t, "objects") {
				name := fmt.Sprintf("s%d", i)
				va, vb := rapid.Int64Range(0, 3).Draw(t, "a"), rapid.Int64Range(0, 3).Draw(t, "b")
				for _, initial := range []struct {
					store   *savorypinconfig.Store
					version int64
				}{{a, va}, {b, vb}} {
					if initial.version > 0 {
						o := service(name, initial.version, initial.version == 2)
						initial.store.Apply(o)
						expected.Apply(o)
					}
				}
				if va != vb {
					differing++
				}
			}
			da, db := newDistributor(a), newDistributor(b)
			sent := 0
			var deliver func(out []savorypinconfig.Envelope)
			deliver = func(out []savorypinconfig.Envelope) {
				for _, e := range out {
					reply, _ := db.HandleRequest(e.Message)
					sent += len(e.Message.Objects) + len(reply.Objects)
					deliver(da.HandleReply(e.Address, reply))
				}
			}
			deliver(da.HandleDigest("b", b.Snapshot().Digest()))
			if a.Snapshot().Digest() != expected.Snapshot().Digest() || b.Snapshot().Digest() != expected.Snapshot().Digest() {
				t.Fatal("the digests of the daemons differ from the expected one after the exchange")
			}
			if sent != differing {
				t.Fatalf("%d objects were sent, but %d differed", sent, differing)
			}
		})
	})

	It("requests an object once even if several peers offer it", func() {
		d := newDistributor(savorypinconfig.NewStore())
		offer := savorypinconfig.Message{Offers: []savorypinconfig.Offer{{Kind: savorypin.KindService, Name: "a", Version: 1}}}
		first, _ := d.HandleRequest(offer)
		second, _ := d.HandleRequest(offer)
		Expect(first.Wanted).To(HaveLen(1))
		Expect(second.Wanted).To(BeEmpty())
	})
})

var _ = Describe("ApplyList", func() {
	for _, tc := range []struct {
		name    string
		stored  savorypin.Object
		listed  []savorypin.Object
		exists  bool
		version int64
	}{
		{"deletes an object that the list lacks", service("a", 3, false), nil, false, 9},
		{"keeps an object that is newer than the list", service("a", 12, false), nil, true, 12},
		{"keeps the version of a deletion", service("a", 3, true), nil, false, 3},
		{"applies a newer object of the list", service("a", 3, false), []savorypin.Object{service("a", 7, false)}, true, 7},
		{"ignores an older object of the list", service("a", 12, true), []savorypin.Object{service("a", 7, false)}, false, 12},
	} {
		It(tc.name, func() {
			store := savorypinconfig.NewStore()
			store.Apply(tc.stored)
			store.ApplyList(savorypin.KindService, tc.listed, 9)
			_, exists := store.Snapshot().Service("a")
			Expect(exists).To(Equal(tc.exists))
			Expect(store.Versions()[tc.stored.Key]).To(Equal(tc.version))
			store.ApplyList(savorypin.KindRoute, nil, 20)
			Expect(store.Versions()[tc.stored.Key]).To(Equal(tc.version), "a list of another kind must not change it")
		})
	}
})

var _ = Describe("Readiness", func() {
	own := savorypin.Digest{Hash: 1, Version: 1}
	other := savorypin.Digest{Hash: 2, Version: 2}
	for _, tc := range []struct {
		name    string
		domains int
		elapsed time.Duration
		digests map[string]savorypin.Digest
		want    bool
	}{
		{"no peer", 0, time.Minute, nil, false},
		{"two domains that agree", 3, 0, map[string]savorypin.Digest{"d1": own, "d2": own}, true},
		{"one of two domains that agrees", 2, time.Minute, map[string]savorypin.Digest{"d1": own}, false},
		{"the only domain, before the discovery period ends", 1, 0, map[string]savorypin.Digest{"d1": own}, false},
		{"the only domain, after the discovery period", 1, time.Minute, map[string]savorypin.Digest{"d1": own}, true},
		{"domains with a different digest", 2, time.Minute, map[string]savorypin.Digest{"d1": other, "d2": other}, false},
	} {
		It("reports whether the configuration is complete given "+tc.name, func() {
			now := time.Unix(0, 0)
			r := savorypinconfig.NewReadiness(savorypinconfig.ReadinessConfig{
				Domains: func() int { return tc.domains },
				Now:     func() time.Time { return now },
			})
			now = now.Add(tc.elapsed)
			for domain, digest := range tc.digests {
				r.CompareDigest(domain, own, digest)
			}
			Expect(r.Synced()).To(Equal(tc.want))
		})
	}

	It("is synced once all kinds are listed at the platform", func() {
		r := savorypinconfig.NewReadiness(savorypinconfig.ReadinessConfig{Now: time.Now})
		for _, kind := range savorypin.ConfigKinds {
			Expect(r.Synced()).To(BeFalse())
			r.RecordListed(kind)
		}
		Expect(r.Synced()).To(BeTrue())
	})
})

var _ = Describe("IsReader", func() {
	It("selects two readers in each failure domain", func() {
		var members []savorypin.MemberState
		for i := range 40 {
			members = append(members, savorypin.MemberState{Domain: fmt.Sprintf("d%d", i%3), Name: fmt.Sprintf("m%d", i)})
		}
		readers := map[string]int{}
		for _, m := range members {
			if savorypinconfig.IsReader(m, members) {
				readers[m.Domain]++
			}
		}
		Expect(readers).To(Equal(map[string]int{"d0": 2, "d1": 2, "d2": 2}))
	})
})
