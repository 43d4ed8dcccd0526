package savorypingateway

import (
	"sync"
	"sync/atomic"

	"savorypin/internal/savorypinfleet"
)

// uploads holds, for each incarnation of an endpoint, the bytes of the request bodies that this gateway has
// sent to it and that have no response head yet. It is safe for concurrent use.
type uploads struct {
	// byEndpoint maps hashes of incarnations to *atomic.Int64.
	byEndpoint sync.Map
}

// take adds n bytes to those of an endpoint and returns the count, from which they must be subtracted. It
// returns nil if the endpoint would have more than limit bytes; a body that is alone always fits.
func (u *uploads) take(endpoint uint64, n, limit int64) *atomic.Int64 {
	v, ok := u.byEndpoint.Load(endpoint)
	if !ok {
		v, _ = u.byEndpoint.LoadOrStore(endpoint, &atomic.Int64{})
	}
	count, _ := v.(*atomic.Int64)
	if count.Add(n) <= max(limit, n) {
		return count
	}
	count.Add(-n)
	return nil
}

// retain drops the counts of endpoints for which keep returns false.
func (u *uploads) retain(keep func(endpoint uint64) bool) {
	u.byEndpoint.Range(func(key, _ any) bool {
		if endpoint, _ := key.(uint64); !keep(endpoint) {
			u.byEndpoint.Delete(key)
		}
		return true
	})
}

// takeUpload counts the body of a request at an endpoint until endUpload is called. It returns false if the
// endpoint has too many bytes of other requests. The limit is the largest body that the configuration
// allows, as an endpoint must have the memory for that one.
func (g *Gateway) takeUpload(e *savorypinfleet.Endpoint, req *request) bool {
	req.endUpload()
	n := int64(len(req.call.Body))
	if n == 0 {
		return true
	}
	req.uploading = g.uploads.take(e.IncarnationHash(), n, max(req.upload.limit, defaultMaxBodyBytes))
	if req.uploading == nil {
		g.counters.uploadHeld.Inc(1)
		return false
	}
	return true
}

// endUpload records that the endpoint has responded to the request, or that the attempt has ended.
func (r *request) endUpload() {
	if r.uploading != nil {
		r.uploading.Add(-int64(len(r.call.Body)))
		r.uploading = nil
	}
}
