package savorypin_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
)

func ExampleParseEventID() {
	id, err := savorypin.ParseEventID("2f6c.agent-1/17")
	fmt.Println(id.Generation().Agent(), id.Next(), err)
	// Output: agent-1 17 <nil>
}

func FuzzParseEventID(f *testing.F) {
	f.Add("2f6c.agent-1/17")
	f.Add("/")
	f.Add("a/-1")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := savorypin.ParseEventID(s)
		if err != nil {
			return
		}
		reparsed, err := savorypin.ParseEventID(id.String())
		if err != nil || reparsed != id {
			t.Fatalf("%q changes when it is formatted and parsed again: %v, error %v", s, reparsed, err)
		}
	})
}

var _ = Describe("EventID", func() {
	for _, tc := range []struct{ name, text string }{
		{"an empty text", ""},
		{"a negative index", "a.b/-1"},
		{"no index", "a.b"},
	} {
		It("rejects "+tc.name, func() {
			_, err := savorypin.ParseEventID(tc.text)
			Expect(savorypin.KindOf(err)).To(Equal(savorypin.KindInvalid))
		})
	}
})
