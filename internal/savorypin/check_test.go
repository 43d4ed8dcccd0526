package savorypin_test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
)

var _ = Describe("CheckObject", func() {
	for _, tc := range []struct {
		name string
		kind savorypin.Kind
		spec string
		want string
	}{
		{"a valid move", savorypin.KindMove, `{"service":"s","from":"a","to":"b","by":"2026-12-04T00:00:00Z"}`, ""},
		{"a valid organisation", savorypin.KindOrganisation, `{"tokensPerSecond":10}`, ""},
		{"a valid route", savorypin.KindRoute, `{"service":"s","route":"sale","path":"/sale"}`, ""},
		{"a valid service", savorypin.KindService, `{"type":"plain"}`, ""},
		{"a valid version", savorypin.KindVersion, `{"service":"s","model":"m"}`, ""},
		{"a path without a leading slash", savorypin.KindRoute, `{"service":"s","route":"sale","path":"sale"}`, "spec.path"},
		{"a claim", savorypin.KindClaim, `{}`, "operators do not write"},
		{"a missing model", savorypin.KindVersion, `{"service":"s"}`, "spec.model: is missing"},
		{"a move to the same version", savorypin.KindMove, `{"service":"s","from":"a","to":"a","by":"2026-12-04T00:00:00Z"}`, "spec.to"},
		{"a move with too large a share", savorypin.KindMove, `{"service":"s","from":"a","to":"b","by":"2026-12-04T00:00:00Z","minShare":2}`, "spec.minShare"},
		{"a negative limit", savorypin.KindOrganisation, `{"concurrency":-1}`, "spec.concurrency"},
		{"an unknown field", savorypin.KindService, `{"type":"plain","colour":"red"}`, "colour"},
		{"an unknown kind", "shoes", `{}`, "kind"},
		{"an unknown type", savorypin.KindService, `{"type":"queue"}`, "spec.type"},
	} {
		It("checks "+tc.name, func() {
			err := savorypin.CheckObject(savorypin.Object{
				Key:  savorypin.Key{Kind: tc.kind, Name: "thing"},
				Spec: json.RawMessage(tc.spec),
			})
			if tc.want == "" {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(err).To(MatchError(ContainSubstring(tc.want)))
			Expect(err).To(MatchError(ContainSubstring(string(tc.kind) + "/thing")))
		})
	}
})
