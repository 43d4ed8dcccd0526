package review_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"

	"savorypin/internal/savorypintest"
)

func TestCase(t *testing.T) {
	savorypintest.RunSuite(t, "Review case 9")
}

// The day is played on the bench of the users, which lies beside the repository.
var _ = It("day.toml", func() { Skip("run by hand") })
