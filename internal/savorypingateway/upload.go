package savorypingateway

import (
	"errors"
	"net/http"

	"savorypin/internal/savorypinfleet"
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
	body, err := req.upload.read(http.MaxBytesReader(w, r.Body, req.upload.limit), r.ContentLength)
	if err != nil {
		return bodyRefusal(err)
	}
	req.call.Body = body
	return nil
}

// bodyRefusal returns the refusal of a request whose body can't be read.
func bodyRefusal(err error) *refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBodyBudget):
		return notRunRefusal("no memory for the body", otherGatewayRetryDelay)
	case errors.Is(err, errBodyTooLong), errors.As(err, &tooLarge):
		return &refusal{reason: "body is too large", status: http.StatusRequestEntityTooLarge}
	}
	return &refusal{reason: "body can't be read", status: http.StatusBadRequest}
}
