package savorypinmembership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmembership"
)

var _ = Describe("NaiveTable", func() {
	for _, tc := range []struct {
		name string
		age  time.Duration
		want savorypinmembership.Health
	}{
		{"a member with a new state", 0, savorypinmembership.HealthLive},
		{"a member whose state is older than SuspectAfter", 3 * time.Second, savorypinmembership.HealthSuspect},
		{"a member whose state is older than DeadAfter", 5 * time.Second, savorypinmembership.HealthDead},
	} {
		It("updates the health of "+tc.name, func() {
			now := time.Unix(0, 0)
			table := savorypinmembership.NewNaiveTable(savorypinmembership.NaiveTableConfig{
				DeadAfter:    4 * time.Second,
				ForgetAfter:  time.Minute,
				Now:          func() time.Time { return now },
				SuspectAfter: 2 * time.Second,
			})
			table.Merge(savorypin.MemberState{Name: "a", Incarnation: 1, Sequence: 1})
			now = now.Add(tc.age)
			table.Tick("self")
			m, ok := table.View().Get("a")
			Expect(ok).To(BeTrue())
			Expect(m.Health()).To(Equal(tc.want))
		})
	}
})
