package savorypinjson_test

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinjson"
	"savorypin/internal/savorypintest"
)

func TestJSON(t *testing.T) {
	savorypintest.RunSuite(t, "savorypinjson")
}

var _ = Describe("Elements", func() {
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	for _, c := range []struct {
		name string
		text string
		want []string
	}{
		{"are those of an empty array", " [ ] ", nil},
		{"are values of all types", `[1, "a,]\"" ,{"b":[2]},[], null]`, []string{`1`, `"a,]\""`, `{"b":[2]}`, `[]`, `null`}},
		{"may be nested deeper than encoding/json decodes", "[" + deep + ",7]", []string{deep, "7"}},
		{"aren't validated", `[torn, 1e999]`, []string{"torn", "1e999"}},
	} {
		It(c.name, func() {
			elements, err := savorypinjson.Elements([]byte(c.text))
			Expect(err).NotTo(HaveOccurred())
			var got []string
			for _, e := range elements {
				got = append(got, strings.TrimSpace(string(e)))
			}
			Expect(got).To(Equal(c.want))
		})
	}

	for _, text := range []string{``, `{}`, `[`, `[1`, `[1,]`, `["`, `[[1]`, `[1 `, `[1] 2`, `[1}`} {
		It("are refused in "+text, func() {
			_, err := savorypinjson.Elements([]byte(text))
			Expect(err).To(MatchError(savorypinjson.ErrSyntax))
		})
	}
})

var _ = Describe("Members", func() {
	It("are the values of an object, by their names", func() {
		members, err := savorypinjson.Members([]byte(` {"a" : 1, "b\"c":{"d":[2,3]}, "e":""}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(members).To(HaveLen(3))
		Expect(members["a"]).To(MatchJSON("1"))
		Expect(members[`b"c`]).To(MatchJSON(`{"d":[2,3]}`))
	})

	for _, text := range []string{``, `[]`, `{`, `{"a"}`, `{"a":}`, `{1:2}`, `{"a":1`, `{"a" 1}`} {
		It("are refused in "+text, func() {
			_, err := savorypinjson.Members([]byte(text))
			Expect(err).To(MatchError(savorypinjson.ErrSyntax))
		})
	}
})

func FuzzElements(f *testing.F) {
	f.Add([]byte(`[1, "a", {"b": [2]}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		elements, err := savorypinjson.Elements(data)
		var want []json.RawMessage
		if json.Unmarshal(data, &want) != nil || want == nil {
			return
		}
		if err != nil || len(elements) != len(want) {
			t.Fatalf("%q: %d elements, %v; encoding/json has %d", data, len(elements), err, len(want))
		}
	})
}
