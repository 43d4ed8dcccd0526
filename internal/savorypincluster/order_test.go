package savorypincluster_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypincluster"
	"savorypin/internal/savorypincontroller"
	"savorypin/internal/savorypindaemon"
	"savorypin/internal/savorypinmember"
)

const (
	orderTimeout  = "30s"
	secondModel   = "assistant-2"
	secondVersion = "assistant-v2"
)

// loadOrders returns the orders to load the second model that the engines have
// accepted.
func loadOrders(c *savorypincluster.Cluster) []string {
	var all []string
	for _, a := range c.Agents() {
		for _, order := range a.Engine.Orders() {
			if strings.HasPrefix(order, "load "+secondModel) {
				all = append(all, order)
			}
		}
	}
	return all
}

// currentController returns the highest fencing number of a controller of the
// service and the name of its daemon.
func currentController(c *savorypincluster.Cluster) (fence int64, name string) {
	var daemons []*savorypindaemon.Daemon
	for _, a := range c.Agents() {
		daemons = append(daemons, a.Daemon())
	}
	for _, e := range c.Entries() {
		daemons = append(daemons, e.Daemon())
	}
	for _, d := range daemons {
		state, _ := d.States()["placement"].(savorypincontroller.PlacementState)
		if n := state.Controls[savorypincluster.Service]; n > fence {
			fence = n
			name = d.Settings().Name
		}
	}
	return fence, name
}

var _ = Describe("Orders", func() {
	It("load as many replicas of a version as it needs, also after the controller was killed", func(ctx SpecContext) {
		c := startCluster(ctx, 2, 3)
		spec := savorypin.VersionSpec{Model: secondModel, Replicas: 1, Service: savorypincluster.Service}
		_, err := c.Apply(savorypin.KindVersion, secondVersion, spec)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return len(loadOrders(c)) }, orderTimeout).Should(Equal(1))
		firstFence, name := currentController(c)
		Expect(firstFence).To(BeNumerically(">", 0))
		killDaemon(c, name)
		spec.Replicas = 2
		_, err = c.Apply(savorypin.KindVersion, secondVersion, spec)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int64 {
			fence, _ := currentController(c)
			return fence
		}, orderTimeout).Should(BeNumerically(">", firstFence))
		Eventually(func() int { return len(loadOrders(c)) }, orderTimeout).Should(BeNumerically(">=", 2))
	})

	It("with an old fencing number never reach an endpoint that doesn't check fencing numbers, even after its agent restarted", func(ctx SpecContext) {
		c := startCluster(ctx, 1, 2)
		Eventually(func() int64 {
			fence, _ := currentController(c)
			return fence
		}, orderTimeout).Should(BeNumerically(">", 0))
		Expect(c.RestartAgent(1)).To(Succeed())
		sendOrder := func(fence int64) error {
			_, err := savorypinmember.Call[savorypinmember.Order, savorypinmember.Empty](
				ctx, c.Entries()[0].Daemon().Transport(), c.Agents()[1].Daemon().Self().Address,
				savorypinmember.FrameOrder, savorypinmember.Order{
					Action: "load", Endpoint: "engine-1", Fence: fence, Model: secondModel,
					Name: fmt.Sprint("test-", fence), Service: savorypincluster.Service,
				})
			return err
		}
		// Until the entry notices that its connection to the old agent is closed,
		// it can't know the outcome of an order. No order may ever run.
		Eventually(func() savorypin.ErrorKind {
			kind := savorypin.KindOf(sendOrder(0))
			Expect(kind).To(BeElementOf(savorypin.KindNotRun, savorypin.KindUnknown, savorypin.KindUnreachable))
			Expect(loadOrders(c)).To(BeEmpty())
			return kind
		}, orderTimeout).Should(Equal(savorypin.KindNotRun))
		c.Platform().SetOutage(true)
		Expect(savorypin.KindOf(sendOrder(1))).To(Equal(savorypin.KindNotRun))
		Expect(loadOrders(c)).To(BeEmpty())
		c.Platform().SetOutage(false)
		Expect(sendOrder(1)).To(Succeed())
		Expect(loadOrders(c)).To(HaveLen(1))
	})
})

// killDaemon kills the daemon with the given name.
func killDaemon(c *savorypincluster.Cluster, name string) {
	for _, a := range c.Agents() {
		if a.Daemon().Settings().Name == name {
			a.Kill()
		}
	}
	for _, e := range c.Entries() {
		if e.Daemon().Settings().Name == name {
			e.Kill()
		}
	}
}
