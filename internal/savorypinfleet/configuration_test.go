package savorypinfleet_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinfleet"
)

var _ = Describe("The key of an organisation", func() {
	c := savorypinfleet.NewConfiguration(savorypinfleet.ConfigurationSpec{Organisations: []savorypinfleet.Organisation{
		{Keys: []string{"one", "two"}, Name: "shops"}, {Name: "keyless"},
	}})
	for _, tc := range []struct {
		organisation string
		found        bool
	}{
		{"shops", true},
		{"keyless", false},
		{"unknown", false},
		{"", false},
	} {
		It("is one by which its requests are recognised: "+tc.organisation, func() {
			key, ok := c.KeyOf(tc.organisation)
			Expect(ok).To(Equal(tc.found))
			if ok {
				Expect(c.Organisation(key).Name).To(Equal(tc.organisation))
			}
		})
	}
})
