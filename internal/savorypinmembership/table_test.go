package savorypinmembership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmembership"
)

var _ = Describe("Table", func() {
	for _, tc := range []struct {
		name    string
		silence time.Duration
		want    savorypinmembership.Health
	}{
		{"one that was just heard of", 0, savorypinmembership.HealthLive},
		{"one that was not heard of lately", 3 * time.Second, savorypinmembership.HealthSuspect},
		{"one that was not heard of for long", 5 * time.Second, savorypinmembership.HealthDead},
	} {
		It("judges "+tc.name, func() {
			now := time.Unix(0, 0)
			table := savorypinmembership.NewTable(savorypinmembership.Config{
				DeadAfter:    4 * time.Second,
				ForgetAfter:  time.Minute,
				Now:          func() time.Time { return now },
				SuspectAfter: 2 * time.Second,
			})
			table.Merge(savorypin.MemberState{Name: "a", Incarnation: 1, Sequence: 1})
			now = now.Add(tc.silence)
			table.Tick("self")
			m, ok := table.View().Get("a")
			Expect(ok).To(BeTrue())
			Expect(m.Health()).To(Equal(tc.want))
		})
	}
})
