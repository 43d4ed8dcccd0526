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
		Changed: func([]savorypin.Object) {},
		Now:     func() time.Time { return time.Unix(1_800_000_000, 0) },
		Peers:   func() []string { return nil },
		Store:   store,
		Synced:  func() bool { return false },
	})
}

var _ = Describe("Distributor", func() {
	It("brings two daemons to the newest of both and sends only what differs", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a, b, naive := savorypinconfig.NewStore(), savorypinconfig.NewStore(), savorypinconfig.NewStore()
			differing := 0
			for i := range rapid.IntRange(0, 60).Draw(t, "objects") {
				name := fmt.Sprintf("s%d", i)
				va, vb := rapid.Int64Range(0, 3).Draw(t, "a"), rapid.Int64Range(0, 3).Draw(t, "b")
				for _, held := range []struct {
					store   *savorypinconfig.Store
					version int64
				}{{a, va}, {b, vb}} {
					if held.version > 0 {
						o := service(name, held.version, held.version == 2)
						held.store.Apply(o)
						naive.Apply(o)
					}
				}
				if va != vb {
					differing++
				}
			}
			da, db := newDistributor(a), newDistributor(b)
			sent := 0
			var exchange func(out []savorypinconfig.Envelope)
			exchange = func(out []savorypinconfig.Envelope) {
				for _, e := range out {
					answer, _ := db.Request(e.Exchange)
					sent += len(e.Exchange.Objects) + len(answer.Objects)
					exchange(da.Reply(e.Address, answer))
				}
			}
			exchange(da.Heard("b", b.Snapshot().Digest()))
			if a.Snapshot().Digest() != naive.Snapshot().Digest() || b.Snapshot().Digest() != naive.Snapshot().Digest() {
				t.Fatal("the daemons differ after an exchange")
			}
			if sent != differing {
				t.Fatalf("%d objects were sent, and %d differed", sent, differing)
			}
		})
	})

	It("fetches an object once though many offer it", func() {
		d := newDistributor(savorypinconfig.NewStore())
		offer := savorypinconfig.Exchange{Offer: []savorypinconfig.Offer{{Kind: savorypin.KindService, Name: "a", Version: 1}}}
		first, _ := d.Request(offer)
		second, _ := d.Request(offer)
		Expect(first.Want).To(HaveLen(1))
		Expect(second.Want).To(BeEmpty())
	})
})

var _ = Describe("Relist", func() {
	for _, tc := range []struct {
		name    string
		held    savorypin.Object
		listed  []savorypin.Object
		exists  bool
		version int64
	}{
		{"deletes what the list lacks", service("a", 3, false), nil, false, 9},
		{"keeps what is newer than the list", service("a", 12, false), nil, true, 12},
		{"keeps a deletion as it is", service("a", 3, true), nil, false, 3},
		{"takes a newer object of the list", service("a", 3, false), []savorypin.Object{service("a", 7, false)}, true, 7},
		{"ignores an older object of the list", service("a", 12, true), []savorypin.Object{service("a", 7, false)}, false, 12},
	} {
		It(tc.name, func() {
			store := savorypinconfig.NewStore()
			store.Apply(tc.held)
			store.Relist(savorypin.KindService, tc.listed, 9)
			_, exists := store.Snapshot().Service("a")
			Expect(exists).To(Equal(tc.exists))
			Expect(store.Versions()[tc.held.Key]).To(Equal(tc.version))
			store.Relist(savorypin.KindRoute, nil, 20)
			Expect(store.Versions()[tc.held.Key]).To(Equal(tc.version), "another kind was listed")
		})
	}
})

var _ = Describe("Readiness", func() {
	mine := savorypin.Digest{Hash: 1, Version: 1}
	other := savorypin.Digest{Hash: 2, Version: 2}
	for _, tc := range []struct {
		name    string
		domains int
		elapsed time.Duration
		heard   map[string]savorypin.Digest
		want    bool
	}{
		{"no peer", 0, time.Minute, nil, false},
		{"two domains that agree", 3, 0, map[string]savorypin.Digest{"d1": mine, "d2": mine}, true},
		{"one of two domains", 2, time.Minute, map[string]savorypin.Digest{"d1": mine}, false},
		{"the only domain, at once", 1, 0, map[string]savorypin.Digest{"d1": mine}, false},
		{"the only domain, after a while", 1, time.Minute, map[string]savorypin.Digest{"d1": mine}, true},
		{"domains that differ", 2, time.Minute, map[string]savorypin.Digest{"d1": other, "d2": other}, false},
	} {
		It("judges "+tc.name, func() {
			now := time.Unix(0, 0)
			r := savorypinconfig.NewReadiness(savorypinconfig.ReadinessConfig{
				Domains: func() int { return tc.domains },
				Now:     func() time.Time { return now },
			})
			now = now.Add(tc.elapsed)
			for domain, digest := range tc.heard {
				r.Heard(domain, mine, digest)
			}
			Expect(r.Synced()).To(Equal(tc.want))
		})
	}

	It("has everything once all kinds are listed", func() {
		r := savorypinconfig.NewReadiness(savorypinconfig.ReadinessConfig{Now: time.Now})
		for _, kind := range savorypin.ConfigKinds {
			Expect(r.Synced()).To(BeFalse())
			r.Listed(kind)
		}
		Expect(r.Synced()).To(BeTrue())
	})
})

var _ = Describe("Reads", func() {
	It("gives each failure domain two readers", func() {
		var members []savorypin.MemberState
		for i := range 40 {
			members = append(members, savorypin.MemberState{Domain: fmt.Sprintf("d%d", i%3), Name: fmt.Sprintf("m%d", i)})
		}
		readers := map[string]int{}
		for _, m := range members {
			if savorypinconfig.Reads(m, members) {
				readers[m.Domain]++
			}
		}
		Expect(readers).To(Equal(map[string]int{"d0": 2, "d1": 2, "d2": 2}))
	})
})
