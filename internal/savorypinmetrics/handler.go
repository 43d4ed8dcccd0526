// Package savorypinmetrics exports a registry of go-metrics in the text format
// that Prometheus and compatible scrapers read.
package savorypinmetrics

import (
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rcrowley/go-metrics"
)

// namePrefix is the prefix of the exported name of each metric.
const namePrefix = "savorypin_"

// quantiles are the quantiles that are exported for histograms and timers.
var quantiles = []float64{0.5, 0.95, 0.99}

// NewHandler returns a handler that exports all metrics of a registry, and those of
// the Go runtime and the process.
func NewHandler(registry metrics.Registry) http.Handler {
	gatherer := prometheus.NewRegistry()
	gatherer.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		&collector{registry: registry},
	)
	return promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{})
}

// collector converts the metrics of a registry at each scrape.
type collector struct {
	registry metrics.Registry
}

// Describe sends no descriptions, since metrics are added and removed while the daemon
// runs.
func (c *collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current values.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	c.registry.Each(func(name string, metric any) {
		if m := toPrometheus(Name(name), metric); m != nil {
			ch <- m
		}
	})
}

// Name returns the exported name of a metric: it has the prefix savorypin_, is in lower
// case, and has an underscore for each character that is not a letter or digit.
func Name(name string) string {
	clean := strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= '0' && r <= '9', r == '_':
			return r
		case r >= 'A' && r <= 'Z':
			return r - 'A' + 'a'
		default:
			return '_'
		}
	}, name)
	return namePrefix + clean
}

// toPrometheus returns the Prometheus form of a metric, or nil if it has none.
func toPrometheus(name string, metric any) prometheus.Metric {
	desc := prometheus.NewDesc(name, "See docs/operators/metrics.md.", nil, nil)
	switch m := metric.(type) {
	case metrics.Counter:
		return prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(m.Count()))
	case metrics.Gauge:
		return prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(m.Value()))
	case metrics.GaugeFloat64:
		return prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		return newSummary(desc, s.Count(), s.Sum(), s.Percentiles(quantiles))
	case metrics.Meter:
		return prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(m.Count()))
	case metrics.Timer:
		s := m.Snapshot()
		return newSummary(desc, s.Count(), s.Sum(), s.Percentiles(quantiles))
	default:
		return nil
	}
}

func newSummary(desc *prometheus.Desc, count, sum int64, values []float64) prometheus.Metric {
	valueByQuantile := map[float64]float64{}
	for i, q := range quantiles {
		valueByQuantile[q] = values[i]
	}
	return prometheus.MustNewConstSummary(desc, uint64(count), float64(sum), valueByQuantile)
}
