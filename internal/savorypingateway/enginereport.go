package savorypingateway

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinpool"
)

// Limits of an engine's report of its requests.
const (
	// reportTimeout limits the time of a report.
	reportTimeout = 400 * time.Millisecond
	// maxReportBytes limits the size of a report.
	maxReportBytes = 1 << 20
	// maxReportAge is the maximum age of a report: a request that was sent later may be missing
	// from it.
	maxReportAge = 600 * time.Millisecond
)

// isMissing reports whether an engine does not have a request, given whether the engine's report
// includes or may include it, and the time since it was sent. Reports lag behind: when a failure
// domain is lost, all streams there are checked at once, including those that were just sent.
func isMissing(reported bool, sinceSent time.Duration) bool {
	return !reported && sinceSent >= maxReportAge
}

// mayHaveRequest reports whether the engine has the request, or may have it among those that its
// report counts but does not name. It takes ownership of the connection. After the first event it
// returns true without a report: the engine may still run a request whose response is lost, so
// that only the timeouts decide. It does the same during a pause that the endpoint asked for, and
// if the endpoint has a limit on requests.
func (w *watchdog) mayHaveRequest(conn *savorypinpool.Conn) bool {
	if w.firstEventSeen.Load() || w.gateway.admission.Paused(w.endpoint) || w.gateway.endpointLimits.Limited(w.endpoint.IncarnationHash()) {
		w.gateway.pool.Put(conn, 0)
		return true
	}
	report, keepAlive, err := w.gateway.fetchReport(conn, w.endpoint)
	if err != nil {
		conn.Close()
		w.gateway.log.Debug("requesting the engine's report failed", "id", w.req.call.ID, "endpoint", w.endpoint.ID(), "err", err)
		return false
	}
	w.gateway.pool.Put(conn, keepAlive)
	return report.Pending > 0 || slices.Contains(report.Running, w.req.call.ID)
}

// fetchReport requests an engine's report of its requests and the keep-alive of the connection.
func (g *Gateway) fetchReport(conn *savorypinpool.Conn, e *savorypinfleet.Endpoint) (savorypinfleet.EngineReport, time.Duration, error) {
	deadline := time.Now().Add(reportTimeout)
	req := savorypinpool.Request{Header: http.Header{}, Host: e.Address(), Method: http.MethodGet, URI: g.cfg.Codec.ReportPath}
	if err := conn.Send(req, deadline); err != nil {
		return savorypinfleet.EngineReport{}, 0, err
	}
	if err := conn.SetReadDeadline(deadline); err != nil {
		return savorypinfleet.EngineReport{}, 0, err
	}
	resp, err := conn.Receive(http.MethodGet)
	if err != nil {
		return savorypinfleet.EngineReport{}, 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return savorypinfleet.EngineReport{}, 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return savorypinfleet.EngineReport{}, 0, fmt.Errorf("report: status %d", resp.StatusCode)
	}
	report, err := g.cfg.Codec.DecodeReport(data)
	return report, g.cfg.Codec.DecodeReply(resp).KeepAlive, err
}
