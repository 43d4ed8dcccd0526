package savorypinadmission_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestAdmission(t *testing.T) {
	savorypintest.RunSuite(t, "Admission")
}
