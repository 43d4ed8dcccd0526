package savorypinforecast_test

import (
	"testing"

	"savorypin/internal/savorypintest"
)

func TestForecast(t *testing.T) {
	savorypintest.RunSuite(t, "Forecast")
}
