package savorypinresume

import (
	"fmt"
	"sync"
	"time"

	"savorypin/internal/savorypin"
)

// maxNewWorkRatio is the part of the memory that first attempts may reserve. The
// rest is left for retries, resumes and hedges.
const maxNewWorkRatio = 0.8

// memoryRetryAfter is the delay after which a refused reservation may be retried.
const memoryRetryAfter = time.Second

// MemoryConfig configures a Memory.
type MemoryConfig struct {
	// Bytes is the maximum of all reservations together, in bytes.
	Bytes int
	// Evict is called without locks when a reservation does not fit. It releases
	// finished answers that are only kept for late readers. It may be nil.
	Evict func()
	// Object is the name of the memory's owner in errors.
	Object string
}

// Memory limits the memory of all answers of a daemon. Each answer reserves its
// maximum size before it begins, so that the limit holds whatever size the answers
// reach. It is safe for concurrent use.
type Memory struct {
	cfg MemoryConfig

	mu       sync.Mutex
	reserved int
}

// NewMemory returns a memory without reservations.
func NewMemory(cfg MemoryConfig) *Memory {
	return &Memory{cfg: cfg}
}

// Size returns the number of bytes that a generation reserves.
func Size(gen savorypin.Generation) int {
	return gen.MaxTokens*TokenBytes + len(gen.Prompt)
}

// Reserve reserves bytes for an answer. It returns an error of kind not run if they
// don't fit. The reservation must be released once.
func (m *Memory) Reserve(purpose savorypin.Purpose, bytes int) error {
	if m.tryReserve(purpose, bytes) {
		return nil
	}
	if m.cfg.Evict != nil {
		m.cfg.Evict()
		if m.tryReserve(purpose, bytes) {
			return nil
		}
	}
	return savorypin.Errorf(savorypin.KindNotRun, m.cfg.Object,
		"%w", fmt.Errorf("memory for answers is full: %d of %d bytes are reserved", m.Used(), m.cfg.Bytes)).
		WithRetryAfter(memoryRetryAfter)
}

func (m *Memory) tryReserve(purpose savorypin.Purpose, bytes int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.cfg.Bytes
	if purpose == savorypin.PurposeFirst {
		limit = int(maxNewWorkRatio * float64(limit))
	}
	if m.reserved+bytes > limit {
		return false
	}
	m.reserved += bytes
	return true
}

// Release releases reserved bytes.
func (m *Memory) Release(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserved -= bytes
}

// Limit returns the maximum of all reservations together, in bytes.
func (m *Memory) Limit() int {
	return m.cfg.Bytes
}

// Used returns the number of bytes that are reserved.
func (m *Memory) Used() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reserved
}
