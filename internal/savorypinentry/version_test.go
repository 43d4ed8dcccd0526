package savorypinentry_test

import (
	"context"
	"encoding/json"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
)

const otherVersion = "assistant-v2"

// setVersion configures the version of the service and waits until the entry has the
// configuration.
func (c *testCluster) setVersion(ctx context.Context, version string) {
	platform := c.entry.Daemon().Platform()
	o, err := platform.Get(ctx, savorypin.Key{Kind: savorypin.KindService, Name: testService})
	Expect(err).NotTo(HaveOccurred())
	o.Spec, err = json.Marshal(savorypin.ServiceSpec{Type: savorypin.ServiceGeneration, Version: version})
	Expect(err).NotTo(HaveOccurred())
	_, err = platform.Update(ctx, o)
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() string {
		spec, _ := c.entry.Daemon().Config().Service(testService)
		return spec.Version
	}).WithTimeout(eventTimeout).Should(Equal(version))
}

var _ = Describe("Relay", func() {
	for _, tc := range []struct {
		delivered int
		want      string
	}{
		{0, otherVersion},
		{1, testVersion},
	} {
		It(fmt.Sprintf("continues with %s after %d delivered tokens when the version of the service has changed", tc.want, tc.delivered), func(ctx SpecContext) {
			changed := make(chan struct{})
			started := make(chan struct{})
			versions := make(chan string, 8)
			// The first attempt fails after the version of the service has changed. Later
			// attempts report the version that they are started with.
			handler := func(ctx context.Context, s *savorypinmember.Stream, first savorypinmember.Frame) error {
				start, err := savorypinmember.Decode[savorypinmember.Start](first)
				if err != nil {
					return err
				}
				if start.Generation.MaxTokens == 1 {
					return produce(ctx, s, first)
				}
				if start.Attempt.ID.Number > 1 {
					versions <- start.Version
					return savorypin.Errorf(savorypin.KindIncomplete, start.Endpoint, "engine closed the stream early")
				}
				if tc.delivered > 0 {
					msg := savorypinmember.Tokens{Attempt: start.Attempt.ID, Tokens: []savorypin.Token{{ID: 1}}}
					if err := s.Send(ctx, savorypinmember.FrameTokens, &msg); err != nil {
						return err
					}
				}
				close(started)
				<-changed
				return savorypin.Errorf(savorypin.KindIncomplete, start.Endpoint, "engine closed the stream early")
			}
			engines := []savorypin.EndpointState{fastEngine("engine-0"), fastEngine("engine-1")}
			for i := range engines {
				engines[i].Versions = []string{testVersion, otherVersion}
			}
			c := newTestCluster(GinkgoTB(), handler, engines...)
			spec, err := json.Marshal(savorypin.VersionSpec{Model: "assistant-2", Service: testService})
			Expect(err).NotTo(HaveOccurred())
			_, err = c.entry.Daemon().Platform().Create(ctx, savorypin.Object{
				By: "test", Key: savorypin.Key{Kind: savorypin.KindVersion, Name: otherVersion}, Order: "other", Spec: spec,
			})
			Expect(err).NotTo(HaveOccurred())
			_, err = c.entry.Start(request(100))
			Expect(err).NotTo(HaveOccurred())
			Eventually(started).WithTimeout(eventTimeout).Should(BeClosed())
			c.setVersion(ctx, otherVersion)
			close(changed)
			Eventually(versions).WithTimeout(eventTimeout).Should(Receive(Equal(tc.want)))
		})
	}
})
