package savorypinmember

import "sync"

// maxOutboxBytes bounds the data that waits to be written to a connection.
const maxOutboxBytes = 1 << 20

// outbox collects frames for the next write of a connection. It alternates between two
// buffers: one is filled while the other is written. The frames of many streams are thus sent
// in one system call, without an allocation for each.
type outbox struct {
	hasData chan struct{}

	mu sync.Mutex
	// drained is closed by the next take; nil if no sender waits for it.
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

// ready returns a channel that receives a value when there is data to write.
func (o *outbox) ready() <-chan struct{} {
	return o.hasData
}

// take removes and returns all data. The result is valid until the next call of take.
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
