package savorypincontroller

import (
	"io"
	"net/http/httptest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypindaemon"
	"savorypin/internal/savorypinlease"
	"savorypin/internal/savorypinstandin"
)

var _ = Describe("Moves", func() {
	It("accepts each report of an entry once and ignores outdated ones", func() {
		c := &Moves{lastReports: map[string]reportID{}}
		for _, tc := range []struct {
			from string
			id   reportID
			want bool
		}{
			{"entry-1", reportID{incarnation: 1, sequence: 1}, true},
			{"entry-1", reportID{incarnation: 1, sequence: 1}, false},
			{"entry-1", reportID{incarnation: 1, sequence: 3}, true},
			{"entry-1", reportID{incarnation: 1, sequence: 2}, false},
			{"entry-2", reportID{incarnation: 1, sequence: 1}, true},
			{"entry-1", reportID{incarnation: 2, sequence: 1}, true},
			{"entry-1", reportID{incarnation: 1, sequence: 9}, false},
		} {
			Expect(c.isNewReport(tc.from, tc.id)).To(Equal(tc.want), "%v", tc)
		}
	})
})

var _ = Describe("versionLocations", func() {
	It("returns failure domains as units if there are several, else endpoints", func() {
		l := &versionLocations{byVersion: map[string][]location{
			"near": {{domain: "d1", endpoint: "e1"}, {domain: "d1", endpoint: "e2"}},
			"wide": {{domain: "d1", endpoint: "e1"}, {domain: "d1", endpoint: "e2"}, {domain: "d2", endpoint: "e3"}},
		}}
		Expect(l.units("near")).To(Equal([]string{"endpoint e1", "endpoint e2"}))
		Expect(l.units("wide")).To(Equal([]string{"domain d1", "domain d2"}))
		Expect(l.units("none")).To(BeEmpty())
		Expect(l.serves("none")).To(BeFalse())
	})
})

var _ = Describe("Moves.updateObject", func() {
	It("writes nothing after the lease expired during a pause, nor over a newer version", func(ctx SpecContext) {
		server := httptest.NewServer(savorypinstandin.NewPlatform())
		DeferCleanup(server.Close)
		daemon, err := savorypindaemon.New(savorypindaemon.Config{
			Logger: log.New(io.Discard),
			Role:   savorypin.RoleEntry,
			Settings: savorypindaemon.Settings{
				HTTP: "127.0.0.1:0", Listen: "127.0.0.1:0", Name: "entry-1", Platform: server.URL,
			},
		})
		Expect(err).NotTo(HaveOccurred())
		platform := daemon.Platform()
		now := time.Unix(0, 0)
		lease := savorypinlease.New(savorypinlease.Config{
			Create: platform.Create, Duration: time.Second, Get: platform.Get, Holder: "entry-1",
			Name: "controller-s", Now: func() time.Time { return now }, Update: platform.Update,
		})
		Expect(lease.TryAcquireOrRenew(ctx)).To(Succeed())
		c := &Moves{daemon: daemon, lastWrites: map[savorypin.Key]objectWrite{}}
		first, err := platform.Create(ctx, savorypin.Object{
			Key: savorypin.Key{Kind: savorypin.KindMove, Name: "m"}, Spec: []byte("{}"),
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(c.updateObject(ctx, lease, first)).To(BeTrue())
		second, err := platform.Get(ctx, first.Key)
		Expect(err).NotTo(HaveOccurred())

		clear(c.lastWrites)
		Expect(c.updateObject(ctx, lease, first)).To(BeFalse(), "an outdated object version")
		now = now.Add(time.Minute)
		Expect(c.updateObject(ctx, lease, second)).To(BeFalse(), "an expired lease")
		stored, err := platform.Get(ctx, first.Key)
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Version).To(Equal(second.Version))
	})
})
