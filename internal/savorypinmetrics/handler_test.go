package savorypinmetrics_test

import (
	"fmt"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"savorypin/internal/savorypinmetrics"
	"savorypin/internal/savorypintest"
)

func Test(t *testing.T) {
	savorypintest.RunSuite(t, "savorypinmetrics")
}

func ExampleName() {
	fmt.Println(savorypinmetrics.Name("platform.calls.GET"))
	// Output: savorypin_platform_calls_get
}

var _ = Describe("Handler", func() {
	It("exports counters, gauges, histograms and runtime metrics", func() {
		registry := metrics.NewRegistry()
		metrics.NewRegisteredCounter("relay.tokens", registry).Inc(3)
		metrics.NewRegisteredGauge("relay.open", registry).Update(2)
		metrics.NewRegisteredHistogram("resume.milliseconds", registry, metrics.NewUniformSample(10)).Update(40)
		recorder := httptest.NewRecorder()
		savorypinmetrics.NewHandler(registry).ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
		for _, want := range []string{
			"savorypin_relay_tokens 3",
			"savorypin_relay_open 2",
			`savorypin_resume_milliseconds{quantile="0.5"} 40`,
			"go_goroutines",
		} {
			Expect(recorder.Body.String()).To(ContainSubstring(want))
		}
	})
})
