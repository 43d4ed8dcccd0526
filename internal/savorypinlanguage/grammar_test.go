package savorypinlanguage_test

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinlanguage"
	"savorypin/internal/savorypintest"
)

func Test(t *testing.T) {
	savorypintest.RunSuite(t, "savorypinlanguage")
}

func ExampleParse() {
	statement, err := savorypinlanguage.Parse(`show endpoints where region = punjab and waiting > 3 sort by waiting desc limit 5`)
	fmt.Println(statement.Show.Subject.Text, len(statement.Show.Where), statement.Show.Sort.Descending, err)
	_, err = savorypinlanguage.Parse(`show endpoints were region = punjab`)
	fmt.Println(err)
	// Output:
	// endpoints 2 true <nil>
	// column 16: unexpected token "were"
}

func FuzzParse(f *testing.F) {
	for _, text := range validStatements {
		f.Add(text)
	}
	f.Add(`show "`)
	f.Fuzz(func(t *testing.T, text string) {
		statement, err := savorypinlanguage.Parse(text)
		var languageErr *savorypinlanguage.Error
		switch {
		case err == nil && statement == nil:
			t.Fatal("neither a statement nor an error")
		case err != nil && (!errors.As(err, &languageErr) || languageErr.Column() < 1):
			t.Fatalf("error without a column: %v", err)
		}
	})
}

var validStatements = []string{
	`count endpoints where state = live by version`,
	`drain engine-3`,
	`explain move assistant-v2`,
	`explain refusals shops`,
	`explain share assistant`,
	`go assistant-v2`,
	`hasten assistant-v2 in 10m`,
	`help`,
	`hold assistant-v2`,
	`limit shops tokens=2000 requests=5 concurrency=40 weight=2`,
	`move assistant from assistant-v1 to assistant-v2 as night start 2026-12-04T20:00:00Z by 2026-12-05T06:00:00Z`,
	`MOVE assistant FROM assistant-v1 TO assistant-v2 IN 30m`,
	`rollback assistant-v2`,
	`show generations where organisation = shops`,
	`show members where name ~ "agent"`,
	`stop agent-3`,
	`stop domain karachi`,
	`undrain engine-3`,
	`wait move assistant-v2 for 1h`,
}

var _ = Describe("Parse", func() {
	for _, text := range validStatements {
		It("accepts "+text, func() {
			_, err := savorypinlanguage.Parse(text)
			Expect(err).NotTo(HaveOccurred())
		})
	}

	for _, tc := range []struct {
		text   string
		column int
	}{
		{``, 1},
		{`dance`, 1},
		{`move assistant to b in 3m`, 16},
		{`show endpoints where region = `, 30},
		{`show endpoints where region & punjab`, 29},
	} {
		It(fmt.Sprintf("returns an error at column %d of %q", tc.column, tc.text), func() {
			_, err := savorypinlanguage.Parse(tc.text)
			var languageErr *savorypinlanguage.Error
			Expect(errors.As(err, &languageErr)).To(BeTrue())
			Expect(languageErr.Column()).To(BeNumerically("~", tc.column, 1))
		})
	}
})
