package cmd

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
)

func FuzzReadObject(f *testing.F) {
	f.Add([]byte("kind: services\nname: a\nspec: {type: plain}\n"))
	f.Add([]byte("kind: services\nkind: routes\n"))
	f.Add([]byte("&a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		o, err := readObject(data)
		if err != nil {
			return
		}
		if err := savorypin.CheckName(o.Name); err != nil {
			t.Fatalf("accepted an object with a bad name: %v", err)
		}
	})
}

var _ = Describe("readObject", func() {
	for _, tc := range []struct{ name, text, want string }{
		{"a field given twice", "kind: services\nname: a\nname: b\nspec: {type: plain}\n", "name"},
		{"invalid YAML", "kind: [", "yaml"},
		{"an unknown field", "kind: services\nname: a\nsize: 3\nspec: {type: plain}\n", "size"},
		{"a missing name", "kind: services\nspec: {type: plain}\n", "name"},
	} {
		It("refuses "+tc.name, func() {
			_, err := readObject([]byte(tc.text))
			Expect(err).To(MatchError(ContainSubstring(tc.want)))
		})
	}
})
