package savorypinfleet

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is the hash of the ID of a part of a prompt. Gateways exchange and log it in place
// of the ID, which may be of any length.
type PromptPart uint64

// NewPromptPart returns the part with a hexadecimal ID. Case and leading zeros don't matter, so
// that a caller can't write the ID of a part in several ways.
func NewPromptPart(id string) PromptPart {
	return PromptPart(xxhash.Sum64String(strings.TrimLeft(strings.ToLower(id), "0")))
}

// String returns the hash as 16 hexadecimal digits.
func (p PromptPart) String() string {
	return fmt.Sprintf("%016x", uint64(p))
}

// JoinPromptParts returns the parts as text, separated by commas.
func JoinPromptParts(parts []PromptPart) string {
	texts := make([]string, 0, len(parts))
	for _, p := range parts {
		texts = append(texts, p.String())
	}
	return strings.Join(texts, ",")
}
