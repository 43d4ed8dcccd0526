package savorypinadmission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinadmission"
	"savorypin/internal/savorypinfleet"
)

// These guard against a reason for operators that isn't the one by which requests are held.
var _ = Describe("The reason why an endpoint is held", func() {
	for _, c := range []struct {
		name    string
		prepare func(*fixture, *savorypinfleet.Endpoint)
		want    savorypinadmission.Hold
		rest    time.Duration
		state   savorypinadmission.State
	}{
		{"is none for others", func(*fixture, *savorypinfleet.Endpoint) {}, savorypinadmission.HoldNone, 0, savorypinadmission.StateOpen},
		{
			"is its pause, with the rest of it",
			func(f *fixture, e *savorypinfleet.Endpoint) {
				f.registry.Pause(e, 4*time.Second)
				f.now = f.now.Add(time.Second)
			},
			savorypinadmission.HoldPaused, 3 * time.Second, savorypinadmission.StateClosed,
		},
		{
			"is the growth of its share after a pause",
			func(f *fixture, e *savorypinfleet.Endpoint) {
				f.registry.Pause(e, 4*time.Second)
				f.now = f.now.Add(5 * time.Second)
				f.random = 0.9
			},
			savorypinadmission.HoldRamp, 0, savorypinadmission.StateLastResort,
		},
		{
			"is none some time after a pause",
			func(f *fixture, e *savorypinfleet.Endpoint) {
				f.registry.Pause(e, 4*time.Second)
				f.now = f.now.Add(6 * time.Second)
			},
			savorypinadmission.HoldNone, 0, savorypinadmission.StateOpen,
		},
		{
			"is its stop",
			func(f *fixture, e *savorypinfleet.Endpoint) { f.registry.MarkStopping(e) },
			savorypinadmission.HoldStopping, 0, savorypinadmission.StateLastResort,
		},
		{
			"is a list from an older copy of the store",
			func(f *fixture, e *savorypinfleet.Endpoint) {
				f.registry.UpdateList(directory(e), directory(), 1)
				f.registry.UpdateList(directory(), directory(e), 2)
			},
			savorypinadmission.HoldRelisted, 0, savorypinadmission.StateClosed,
		},
	} {
		It(c.name, func() {
			f, e := newFixture(), readyEndpoint("a")
			c.prepare(f, e)
			hold, rest := f.registry.Hold(e)
			Expect(hold).To(Equal(c.want))
			Expect(rest).To(Equal(c.rest))
			Expect(f.registry.State(e)).To(Equal(c.state))
		})
	}
})
