package savorypinquery_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinlanguage"
	"savorypin/internal/savorypinquery"
	"savorypin/internal/savorypintest"
)

func Test(t *testing.T) {
	savorypintest.RunSuite(t, "savorypinquery")
}

// source returns two agents with three engines and a move.
func source() *savorypinquery.Source {
	now := time.Unix(1000, 0)
	agent := func(name, region string, endpoints ...savorypin.EndpointState) savorypinquery.Member {
		return savorypinquery.Member{
			Health:   "live",
			LastSeen: now.Add(-time.Second),
			State:    savorypin.MemberState{Domain: region + "-1", Endpoints: endpoints, Name: name, Region: region, Role: savorypin.RoleAgent},
		}
	}
	engine := func(name string, waiting int, versions ...string) savorypin.EndpointState {
		return savorypin.EndpointState{Healthy: true, Name: name, Service: "assistant", Versions: versions, Waiting: waiting}
	}
	return &savorypinquery.Source{
		At: now,
		Members: []savorypinquery.Member{
			agent("agent-1", "punjab", engine("engine-1", 10, "v1"), engine("engine-2", 9, "v1", "v2")),
			agent("agent-2", "sindh", engine("engine-3", 2, "v2")),
		},
		Objects: []savorypin.Object{{
			Key:    savorypin.Key{Kind: savorypin.KindMove, Name: "night"},
			Spec:   json.RawMessage(`{"service":"assistant","from":"v1","to":"v2","by":"2026-12-05T06:00:00Z"}`),
			Status: json.RawMessage(`{"state":"running","share":0.25}`),
		}},
	}
}

func Example() {
	statement, _ := savorypinlanguage.Parse(`show endpoints where versions = v2 sort by waiting desc`)
	table, _ := source().Show(statement.Show)
	for _, record := range table.Records() {
		fmt.Println(record["name"], record["waiting"], record["region"])
	}
	// Output:
	// engine-2 9 punjab
	// engine-3 2 sindh
}

var _ = Describe("Source", func() {
	firstColumn := func(t *savorypinquery.Table) []string {
		names := []string{}
		for _, row := range t.Rows() {
			names = append(names, row[0].String())
		}
		return names
	}

	for _, tc := range []struct {
		query string
		want  []string
	}{
		{`show endpoints sort by waiting limit 2`, []string{"engine-3", "engine-2"}},
		{`show endpoints where waiting >= 9 and region = punjab`, []string{"engine-1", "engine-2"}},
		{`show endpoints where waiting < 9`, []string{"engine-3"}},
		{`show generations`, []string{}},
		{`show members where name ~ 2`, []string{"agent-2"}},
		{`show moves where state = running and share > 0.2`, []string{"night"}},
		{`show regions`, []string{"punjab", "sindh"}},
		{`show domains where endpoints != 2`, []string{"sindh-1"}},
	} {
		It("answers "+tc.query, func() {
			statement, err := savorypinlanguage.Parse(tc.query)
			Expect(err).NotTo(HaveOccurred())
			table, err := source().Show(statement.Show)
			Expect(err).NotTo(HaveOccurred())
			Expect(firstColumn(table)).To(Equal(tc.want))
		})
	}

	for _, tc := range []struct{ query, want string }{
		{`show lamps`, `column 6: can't show "lamps"`},
		{`show endpoints where colour = red`, `column 22: no field "colour"`},
		{`show endpoints sort by colour`, `column 24: no field "colour"`},
		{`show endpoints limit few`, `column 22: "few" is not a number`},
	} {
		It("returns the column of the error in "+tc.query, func() {
			statement, err := savorypinlanguage.Parse(tc.query)
			Expect(err).NotTo(HaveOccurred())
			_, err = source().Show(statement.Show)
			Expect(err).To(MatchError(ContainSubstring(tc.want)))
		})
	}

	It("counts a row for each name in a field with several names", func() {
		statement, err := savorypinlanguage.Parse(`count endpoints by versions`)
		Expect(err).NotTo(HaveOccurred())
		table, err := source().Count(statement.Count)
		Expect(err).NotTo(HaveOccurred())
		Expect(table.Records()).To(Equal([]map[string]string{
			{"versions": "v1", "count": "2"},
			{"versions": "v2", "count": "2"},
		}))
	})
})
