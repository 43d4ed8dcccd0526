package savorypingateway

import (
	"errors"
	"net"
	"net/http"
	"time"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinweb"
)

const (
	// uploadTimeout is how long a request body may take to arrive, if the request's deadline isn't
	// earlier.
	uploadTimeout = 30 * time.Second
	// refusedUploadTimeout is how long the server reads the body of a refused request, which makes the
	// connection usable for the next one.
	refusedUploadTimeout = 2 * time.Second
	// refusalTimeout is how long a caller may take to read a refusal.
	refusalTimeout = 5 * time.Second
)

// defaultMaxBodyBytes limits a request body if the configuration does not.
const defaultMaxBodyBytes = 4 << 20

// maxRequestBodyBytes returns the maximum number of bytes of a request body.
func maxRequestBodyBytes(limits savorypinfleet.Limits) int64 {
	if limits.MaxBodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return limits.MaxBodyBytes
}

// readBody reads the whole request body, so that only complete requests are forwarded.
func readBody(w http.ResponseWriter, r *http.Request, req *request) *refusal {
	if r.ContentLength == 0 {
		return nil
	}
	deadline := time.Now().Add(uploadTimeout)
	if req.deadline.Before(deadline) {
		deadline = req.deadline
	}
	// The writers of some tests have no deadlines.
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(deadline)
	body, err := req.upload.read(http.MaxBytesReader(w, r.Body, req.upload.limit), r.ContentLength)
	if err != nil {
		return bodyRefusal(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	if !savorypinweb.Begin(r.Context()) {
		return notRunRefusal("connection was closed for those of others", otherGatewayRetryDelay)
	}
	req.call.Body = body
	return nil
}

// bodyRefusal returns the refusal of a request whose body can't be read.
func bodyRefusal(err error) *refusal {
	var tooLarge *http.MaxBytesError
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		return &refusal{reason: "body did not arrive in time", status: http.StatusRequestTimeout}
	case errors.Is(err, errBodyBudget):
		return notRunRefusal("no memory for the body", otherGatewayRetryDelay)
	case errors.Is(err, errBodyTooLong), errors.As(err, &tooLarge):
		return &refusal{reason: "body is too large", status: http.StatusRequestEntityTooLarge}
	}
	return &refusal{reason: "body can't be read", status: http.StatusBadRequest}
}

// limitRefusedCaller limits the time that a caller may take to send the rest of a refused request and
// to read the refusal. The server removes the deadlines after the response.
func limitRefusedCaller(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	// The writers of some tests have no deadlines.
	_ = rc.SetWriteDeadline(time.Now().Add(refusalTimeout))
	if r.ContentLength != 0 {
		_ = rc.SetReadDeadline(time.Now().Add(refusedUploadTimeout))
	}
}
