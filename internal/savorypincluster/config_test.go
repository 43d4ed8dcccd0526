package savorypincluster_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypincluster"
	"savorypin/internal/savorypindaemon"
	"savorypin/internal/savorypinplatform"
)

// configTimeout bounds waits for configuration changes. It is long because the
// specs check that a change arrives, not how fast.
const configTimeout = time.Minute

// allDaemons returns all daemons of a cluster.
func allDaemons(c *savorypincluster.Cluster) []*savorypindaemon.Daemon {
	var all []*savorypindaemon.Daemon
	for _, e := range c.Entries() {
		all = append(all, e.Daemon())
	}
	for _, a := range c.Agents() {
		all = append(all, a.Daemon())
	}
	return all
}

// expectInForce waits until the first entry reports an object in force at all
// members.
func expectInForce(ctx SpecContext, c *savorypincluster.Cluster, o savorypin.Object) {
	n := len(allDaemons(c))
	Eventually(ctx, func() savorypindaemon.InForceStatus {
		return c.Entries()[0].Daemon().InForce(ctx, o.Key, o.Version)
	}).WithTimeout(configTimeout).Should(Equal(savorypindaemon.InForceStatus{InForce: n, Members: n}))
}

var _ = Describe("Configuration", func() {
	It("survives a restart of every daemon, one after another, during an outage of the platform", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 3)
		o, err := c.Apply(savorypin.KindOrganisation, "wholesaler", savorypin.OrganisationSpec{Weight: 3})
		Expect(err).NotTo(HaveOccurred())
		expectInForce(ctx, c, o)
		c.Platform().SetOutage(true)
		for i := range 5 {
			if i < 2 {
				Expect(c.RestartEntry(i)).To(Succeed())
			} else {
				Expect(c.RestartAgent(i - 2)).To(Succeed())
			}
			d := allDaemons(c)[i]
			Eventually(ctx, d.Ready).WithTimeout(configTimeout).Should(BeTrue())
			held, _ := d.Config().Object(o.Key)
			Expect(held.Version).To(Equal(o.Version))
		}
		expectInForce(ctx, c, o)
	})

	It("comes into force through new watches when all open ones have stalled", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 2)
		c.Platform().StallWatches()
		o, err := c.Apply(savorypin.KindOrganisation, "wholesaler", savorypin.OrganisationSpec{Weight: 3})
		Expect(err).NotTo(HaveOccurred())
		expectInForce(ctx, c, o)
	})

	It("drops an object deleted during an outage, even if the platform's event history has expired", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 2)
		o, err := c.Apply(savorypin.KindOrganisation, "wholesaler", savorypin.OrganisationSpec{Weight: 3})
		Expect(err).NotTo(HaveOccurred())
		expectInForce(ctx, c, o)
		platform := c.Platform()
		platform.SetOutage(true)
		platform.Delete(savorypinplatform.Document{
			Kind:     string(o.Kind),
			Metadata: savorypinplatform.Metadata{Name: o.Name},
		})
		platform.ExpireEvents()
		platform.SetOutage(false)
		for _, d := range allDaemons(c) {
			Eventually(ctx, func() bool {
				_, exists := d.Config().Organisation(o.Name)
				return exists
			}).WithTimeout(configTimeout).Should(BeFalse())
		}
	})

	It("reports a member that does not answer as unreachable, but not one that has left", func(ctx SpecContext) {
		c := startCluster(ctx, 1, 3)
		o, err := c.Apply(savorypin.KindOrganisation, "wholesaler", savorypin.OrganisationSpec{Weight: 3})
		Expect(err).NotTo(HaveOccurred())
		expectInForce(ctx, c, o)
		c.Agents()[1].Daemon().Stop()
		Eventually(c.Agents()[1].Done()).WithTimeout(configTimeout).Should(BeClosed())
		c.Agents()[2].Kill()
		Eventually(ctx, func() savorypindaemon.InForceStatus {
			return c.Entries()[0].Daemon().InForce(ctx, o.Key, o.Version+1)
		}).WithTimeout(configTimeout).Should(Equal(savorypindaemon.InForceStatus{
			Lagging:     []string{"agent-0", "entry-0"},
			Members:     3,
			Unreachable: []string{"agent-2"},
		}))
	})
})
