package savorypingateway

import (
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinqueue"
	"savorypin/internal/savorypinwhere"
)

// Notes on a request that waits.
const (
	noteOthersFirst = "others wait before it, or the next place is kept for others"
	noteMayRefuse   = "the waiting queue may refuse it at once, if it is full or the expected wait is too long"
)

// awaitPlace returns the endpoint with room at which a stream would start at once; nil if it would wait.
func (d *dryRun) awaitPlace(q *streamQueue) *savorypinfleet.Endpoint {
	item := d.gateway.newItem(d.req, d.req.call.LastEvent())
	item.Bytes = int(d.query.BodyBytes)
	var e *savorypinfleet.Endpoint
	mayPass, chosen := false, false
	// As the item never starts, the queue stays as it is.
	q.queue.TryPass(item, func(savorypinqueue.Item) bool {
		mayPass = true
		e = d.gateway.endpointForPlace(d.req, map[string]bool{}, func() *savorypinfleet.Endpoint {
			chosen = true
			return d.chooseEndpoint()
		})
		return false
	})
	if !chosen {
		// Shows why no endpoint has room.
		d.chooseEndpoint()
	}
	d.describeChoice()
	if e != nil {
		return e
	}
	d.answer.Outcome = savorypinwhere.OutcomeWaits
	if !mayPass {
		d.note(noteOthersFirst)
	}
	d.note(noteMayRefuse)
	return nil
}
