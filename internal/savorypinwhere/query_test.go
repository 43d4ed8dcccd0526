package savorypinwhere_test

import (
	"math"
	"net/url"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinwhere"
)

var _ = Describe("A query", func() {
	valid := savorypinwhere.Query{
		BodyBytes: 7, Deadline: 2500 * time.Millisecond, Host: "h", Method: "PUT", Organisation: "a&b", OutputTokens: 8,
		Path: "/x?y=z&z", PromptTokens: math.MaxInt32, PromptParts: []string{"aa", "b=b"},
	}

	It("is the same after it was encoded and parsed", func() {
		encoded, err := url.ParseQuery(valid.Values().Encode())
		Expect(err).NotTo(HaveOccurred())
		parsed, err := savorypinwhere.ParseQuery(encoded)
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed).To(Equal(valid))
	})

	for _, c := range []struct {
		name   string
		change func(*savorypinwhere.Query)
		want   string
	}{
		{"without a host", func(q *savorypinwhere.Query) { q.Host = "" }, "host: is missing"},
		{"without a method", func(q *savorypinwhere.Query) { q.Method = "" }, "method: is missing"},
		{"with a path that is none", func(q *savorypinwhere.Query) { q.Path = "x" }, "path: doesn't begin with a slash"},
		{"with too many tokens", func(q *savorypinwhere.Query) { q.PromptTokens++ }, "prompt-tokens: is out of bounds"},
		{"with negative tokens", func(q *savorypinwhere.Query) { q.OutputTokens = -1 }, "output-tokens: is out of bounds"},
		{"with a negative size", func(q *savorypinwhere.Query) { q.BodyBytes = -1 }, "body-bytes: is negative"},
		{"with a negative deadline", func(q *savorypinwhere.Query) { q.Deadline = -1 }, "deadline: is negative"},
	} {
		It(c.name+" is an error", func() {
			q := valid
			c.change(&q)
			_, err := savorypinwhere.ParseQuery(q.Values())
			Expect(err).To(MatchError(c.want))
		})
	}

	It("with an unknown parameter is an error", func() {
		v := valid.Values()
		v.Set("colour", "red")
		_, err := savorypinwhere.ParseQuery(v)
		Expect(err).To(MatchError("colour: is unknown"))
	})
})
