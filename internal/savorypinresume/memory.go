package savorypinresume

import (
	"fmt"
	"sync"
	"time"

	"savorypin/internal/savorypin"
)

// newWorkShare is the share of the memory that new work may reserve. The rest
// is left for answers that are resumed.
const newWorkShare = 0.8

// memoryRetryAfter is when work that found no memory may come back.
const memoryRetryAfter = time.Second

// MemoryConfig configures a Memory.
type MemoryConfig struct {
	// Bytes is the most that may be reserved.
	Bytes int
	// Evict is called without locks when memory is short. It releases what is
	// kept for late readers only.
	Evict func()
	// Object names the owner of the memory in errors.
	Object string
}

// Memory bounds the bytes of all answers that a daemon holds. An answer
// reserves its largest size before it begins, so that the bound holds whatever
// the answers turn out to be. It is safe for concurrent use.
type Memory struct {
	cfg MemoryConfig

	mu   sync.Mutex
	used int
}

// NewMemory returns a memory that holds nothing.
func NewMemory(cfg MemoryConfig) *Memory {
	return &Memory{cfg: cfg}
}

// Size returns the bytes that a generation reserves.
func Size(gen savorypin.Generation) int {
	return gen.MaxTokens*TokenBytes + len(gen.Prompt)
}

// Reserve reserves bytes for an answer. It returns a not-run error if they
// can't be had. The reservation must be released once.
func (m *Memory) Reserve(purpose savorypin.Purpose, bytes int) error {
	if m.reserve(purpose, bytes) {
		return nil
	}
	if m.cfg.Evict != nil {
		m.cfg.Evict()
		if m.reserve(purpose, bytes) {
			return nil
		}
	}
	return savorypin.Errorf(savorypin.KindNotRun, m.cfg.Object,
		"%w", fmt.Errorf("memory for answers is full: %d of %d bytes are reserved", m.Used(), m.cfg.Bytes)).
		WithRetryAfter(memoryRetryAfter)
}

func (m *Memory) reserve(purpose savorypin.Purpose, bytes int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.cfg.Bytes
	if purpose == savorypin.PurposeFirst {
		limit = int(newWorkShare * float64(limit))
	}
	if m.used+bytes > limit {
		return false
	}
	m.used += bytes
	return true
}

// Release gives back what was reserved.
func (m *Memory) Release(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= bytes
}

// Limit returns the most that may be reserved, in bytes.
func (m *Memory) Limit() int {
	return m.cfg.Bytes
}

// Used returns the bytes that are reserved.
func (m *Memory) Used() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}
