package savorypinmember

import "sync"

// maxOutboxBytes bounds the data that waits to be written to a connection.
const maxOutboxBytes = 1 << 20

// outbox collects frames for the next write of a connection. It alternates between two
// buffers: one is filled while the other is written, so that the frames of many streams leave
// in one system call and need no memory of their own.
type outbox struct {
	hasData chan struct{}

	mu      sync.Mutex
	drained chan struct{}
	filling []byte
	writing []byte
}

func newOutbox() *outbox {
	return &outbox{hasData: make(chan struct{}, 1)}
}

// put appends data and returns nil. If there is no room it appends nothing and returns a
// channel that is closed when there is. Urgent data is always appended.
func (o *outbox) put(data []byte, urgent bool) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !urgent && len(o.filling) > 0 && len(o.filling)+len(data) > maxOutboxBytes {
		if o.drained == nil {
			o.drained = make(chan struct{})
		}
		return o.drained
	}
	o.filling = append(o.filling, data...)
	select {
	case o.hasData <- struct{}{}:
	default:
	}
	return nil
}

// ready returns a channel that receives when there is data to write.
func (o *outbox) ready() <-chan struct{} {
	return o.hasData
}

// take removes and returns all data. The result is valid until the next call.
func (o *outbox) take() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	data := o.filling
	o.filling = o.writing[:0]
	o.writing = data
	if cap(o.filling) > maxOutboxBytes {
		o.filling = nil
	}
	if o.drained != nil {
		close(o.drained)
		o.drained = nil
	}
	return data
}
