package savorypindaemon

import (
	"fmt"
	"math"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"savorypin/internal/savorypinweb"
)

// Shares of the descriptors that HTTP connections may use.
const (
	// reservedDescriptors are the descriptors for files, the platform and other daemons, but at most
	// reservedRatio of all.
	reservedDescriptors = 200
	reservedRatio       = 0.25
	// httpRatio is the fraction of the others for HTTP connections.
	httpRatio = 0.75
)

// connectionLogInterval is the time between two log lines about closed connections.
const connectionLogInterval = time.Second

// newConnections returns the budget of HTTP connections.
func (d *Daemon) newConnections() *savorypinweb.Budget {
	closed := metrics.GetOrRegisterCounter("http.connections.closed", d.metrics)
	sometimes := rate.Sometimes{Interval: connectionLogInterval}
	bytes := int64(d.cfg.Settings.ConnectionMemory())
	return savorypinweb.NewBudget(savorypinweb.BudgetConfig{
		BufferBytes: bytes,
		Bytes:       bytes,
		Connections: maxConnections(),
		Evicted: func(e savorypinweb.Eviction) {
			closed.Inc(int64(e.Connections))
			sometimes.Do(func() {
				d.logger.Warn("Closed connections without a complete request, as all held too much",
					"connections", e.Connections, "bytes", e.Bytes, "remote", e.Remote)
			})
		},
		HeaderTimeout: readHeaderTimeout,
		IdleTimeout:   idleTimeout,
	})
}

// maxConnections returns the maximum number of HTTP connections.
func maxConnections() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		// The call fails for invalid arguments only.
		panic(fmt.Sprintf("read limit on descriptors: %v", err))
	}
	descriptors := float64(min(limit.Cur, math.MaxInt32))
	return int(httpRatio * (descriptors - min(reservedDescriptors, reservedRatio*descriptors)))
}
