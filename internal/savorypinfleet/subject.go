package savorypinfleet

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Subject is the hash of something that may crash endpoints: a part of a prompt, or a whole
// request. Gateways exchange and log it in place of what it stands for, which may be of any
// length. Its highest bit tells the two apart.
type Subject uint64

// requestBit is set in the subjects that are whole requests.
const requestBit Subject = 1 << 63

// NewPromptPart returns the subject of a part of a prompt with a hexadecimal ID. Case and leading
// zeros don't matter, so that a caller can't write the ID of a part in several ways.
func NewPromptPart(id string) Subject {
	return Subject(xxhash.Sum64String(strings.TrimLeft(strings.ToLower(id), "0"))) &^ requestBit
}

// NewRequest returns the subject of a request of an organisation to a service. It covers what the
// endpoint is asked, not how: neither the ID of the request nor headers other than the prompt. It
// is a part of a SHA-256 hash, since a caller could make other callers' requests share a weaker one.
func NewRequest(service, organisation string, call *Call) Subject {
	h := sha256.New()
	for _, field := range []string{service, organisation, call.Method, strings.ToLower(call.Host), call.URI, call.PromptID} {
		writeField(h, []byte(field))
	}
	writeField(h, call.Body)
	for _, part := range call.PromptParts {
		writeField(h, []byte(part.String()))
	}
	return Subject(binary.BigEndian.Uint64(h.Sum(nil))) | requestBit
}

// writeField writes a field behind its length, so that fields can't run into each other.
func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	h.Write(field)
}

// IsRequest reports whether the subject is a whole request.
func (s Subject) IsRequest() bool {
	return s&requestBit != 0
}

// String returns the hash as 16 hexadecimal digits.
func (s Subject) String() string {
	return fmt.Sprintf("%016x", uint64(s))
}

// JoinSubjects returns the subjects as text, separated by commas.
func JoinSubjects(subjects []Subject) string {
	texts := make([]string, 0, len(subjects))
	for _, s := range subjects {
		texts = append(texts, s.String())
	}
	return strings.Join(texts, ",")
}
