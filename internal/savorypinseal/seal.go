// Package savorypinseal authenticates messages between daemons that share a key,
// by HMAC-SHA256 (RFC 2104).
package savorypinseal

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
)

// tagBytes is the length of a tag. HMAC may be truncated to half the length of its hash (RFC
// 2104, section 5).
const tagBytes = sha256.Size / 2

// ErrNotAuthentic means that a message has no tag that was made with a known key.
var ErrNotAuthentic = errors.New("message is not authentic")

// Sealer authenticates messages with the first of its keys and accepts those of any of its
// keys, so that a key can be replaced on one daemon after the other. Without keys it leaves
// messages unchanged.
type Sealer struct {
	keys [][]byte
}

// New returns a Sealer with the keys that aren't empty.
func New(keys ...string) *Sealer {
	s := &Sealer{}
	for _, key := range keys {
		if key != "" {
			s.keys = append(s.keys, []byte(key))
		}
	}
	return s
}

// Authenticates reports whether messages are authenticated, that is, whether there is a key.
func (s *Sealer) Authenticates() bool { return len(s.keys) > 0 }

// Seal returns the message with its tag in front. The purpose is not sent, but the receiver
// has to open the message with the same one, so that a message can't be used for another
// purpose.
func (s *Sealer) Seal(purpose string, message []byte) []byte {
	if !s.Authenticates() {
		return message
	}
	sealed := make([]byte, 0, tagBytes+len(message))
	sealed = append(sealed, tag(s.keys[0], purpose, message)...)
	return append(sealed, message...)
}

// Open verifies a sealed message and returns it without its tag. The error is ErrNotAuthentic
// if the tag was made with none of the keys.
func (s *Sealer) Open(purpose string, sealed []byte) ([]byte, error) {
	if !s.Authenticates() {
		return sealed, nil
	}
	if len(sealed) < tagBytes {
		return nil, ErrNotAuthentic
	}
	message := sealed[tagBytes:]
	for _, key := range s.keys {
		if hmac.Equal(sealed[:tagBytes], tag(key, purpose, message)) {
			return message, nil
		}
	}
	return nil, ErrNotAuthentic
}

func tag(key []byte, purpose string, message []byte) []byte {
	mac := hmac.New(sha256.New, key)
	// The Write method of a hash never returns an error. The zero byte ends the purpose.
	_, _ = mac.Write([]byte(purpose))
	_, _ = mac.Write([]byte{0})
	_, _ = mac.Write(message)
	return mac.Sum(nil)[:tagBytes]
}
