package savorypingateway

import "net"

const (
	// blockBytes is the size of the blocks of a queue: the size of the writes of net/http.
	blockBytes = 4 << 10
	// maxBatchBlocks limits the blocks that are written in one system call. Their memory is released
	// once all of them are written.
	maxBatchBlocks = 16
)

// blockQueue is a queue of bytes in blocks of blockBytes.
type blockQueue struct {
	blocks net.Buffers
}

// empty reports whether there are no blocks.
func (q *blockQueue) empty() bool { return len(q.blocks) == 0 }

// fill copies as much of p as fits into the last block, and returns the number of bytes.
func (q *blockQueue) fill(p []byte) int {
	if q.empty() {
		return 0
	}
	last := &q.blocks[len(q.blocks)-1]
	n := min(len(p), cap(*last)-len(*last))
	*last = append(*last, p[:n]...)
	return n
}

// grow adds an empty block.
func (q *blockQueue) grow() {
	q.blocks = append(q.blocks, make([]byte, 0, blockBytes))
}

// take removes and returns the first blocks, at most maxBatchBlocks of them.
func (q *blockQueue) take() net.Buffers {
	n := min(maxBatchBlocks, len(q.blocks))
	batch := q.blocks[:n:n]
	q.blocks = q.blocks[n:]
	if q.empty() {
		q.blocks = nil
	}
	return batch
}

// clear discards all blocks, and returns their number.
func (q *blockQueue) clear() int {
	n := len(q.blocks)
	q.blocks = nil
	return n
}
