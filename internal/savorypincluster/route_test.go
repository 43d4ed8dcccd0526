package savorypincluster_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypincluster"
	"savorypin/internal/savorypinentry"
)

var _ = Describe("Routing", func() {
	It("avoids an engine that fails", func(ctx SpecContext) {
		c := startCluster(ctx, 1, 3)
		bad := c.Agents()[0].Engine
		bad.SetFailRatio(1)
		before, _ := bad.Requests()
		for range 40 {
			_, _, err := streamTokens(ctx, c.Client(), 3, func(int) {})
			Expect(err).NotTo(HaveOccurred())
		}
		after, _ := bad.Requests()
		// Three failures eject the endpoint. It is retried from time to time while
		// the others serve.
		Expect(after - before).To(BeNumerically("<=", 8))
	})
})

var _ = Describe("Overload", func() {
	It("refuses a request at once if it can't begin before its timeout", func(ctx SpecContext) {
		c := startCluster(ctx, 1, 3)
		begin := func(timeout time.Duration) error {
			_, err := c.Entries()[0].Start(savorypinentry.Request{
				Generation: savorypin.Generation{
					MaxTokens: 5000, Organisation: savorypincluster.Organisation, Prompt: "p", Service: savorypincluster.Service,
				},
				Timeout: timeout,
			})
			return err
		}
		for range 3*16 + 30 {
			_ = begin(time.Hour)
		}
		var refused *savorypin.Error
		Expect(errors.As(begin(time.Second), &refused)).To(BeTrue())
		Expect(refused.Kind).To(Equal(savorypin.KindNotRun))
		Expect(refused.RetryAfter).To(BeNumerically(">=", time.Second))
	})
})

var _ = Describe("Limits", func() {
	It("apply to the sum over two entries", func(ctx SpecContext) {
		const limit = 4
		c := startCluster(ctx, 2, 3)
		_, err := c.Apply(savorypin.KindOrganisation, savorypincluster.Organisation,
			savorypin.OrganisationSpec{Concurrency: limit})
		Expect(err).NotTo(HaveOccurred())
		for _, e := range c.Entries() {
			Eventually(func() int {
				spec, _ := e.Daemon().Config().Organisation(savorypincluster.Organisation)
				return spec.Concurrency
			}).WithTimeout(30 * time.Second).Should(Equal(limit))
		}
		for _, a := range c.Agents() {
			a.Engine.SetStalled(true)
		}
		begun, limited := 0, 0
		startAtAllEntries := func() int {
			for _, e := range c.Entries() {
				_, err := e.Start(savorypinentry.Request{
					Generation: savorypin.Generation{
						MaxTokens: 10, Organisation: savorypincluster.Organisation, Prompt: "p", Service: savorypincluster.Service,
					},
					Timeout: time.Minute,
				})
				if err == nil {
					begun++
					continue
				}
				Expect(savorypin.KindOf(err)).To(Equal(savorypin.KindLimited), "%v", err)
				limited++
			}
			return begun
		}
		Eventually(startAtAllEntries).WithTimeout(30 * time.Second).Should(BeNumerically(">=", limit))
		for range 100 {
			startAtAllEntries()
		}
		// Each entry may have begun one more request from its fallback share.
		Expect(begun).To(BeNumerically("<=", limit+len(c.Entries())))
		Expect(limited).To(BeNumerically(">", 0))
	})
})
