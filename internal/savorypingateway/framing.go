package savorypingateway

import (
	"errors"
	"net/http"
)

// errMayBeCutOff means that a response has no content and that nothing in it says whether it is whole.
var errMayBeCutOff = errors.New("empty response has neither a length nor chunks")

// framed reports whether the end of a response's body is known from its head or its chunks. The body of
// any other response ends with the connection.
func framed(resp *http.Response) bool {
	return resp.Body == http.NoBody || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
