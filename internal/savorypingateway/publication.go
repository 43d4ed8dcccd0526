package savorypingateway

import (
	"sync"
	"sync/atomic"

	"savorypin/internal/savorypin"
)

// notPublished is the revision in force of a kind of which nothing is.
const notPublished = -1

// publication puts the copies of a kind in force.
type publication struct {
	// put puts the objects of an era in force.
	put func(objects []savorypin.Object, era int64)
	// confirmedAt is the boot-clock time of the last confirmation of the copy in force. Of two
	// concurrent confirmations the earlier one may stay until the next one.
	confirmedAt atomic.Int64
	// revision is that of the copy in force.
	revision atomic.Int64

	// mu is held while a copy is put in force, so that an older copy never replaces a newer one.
	mu sync.Mutex
}

func newPublication(put func(objects []savorypin.Object, era int64)) *publication {
	p := &publication{put: put}
	p.revision.Store(notPublished)
	return p
}

// putInForce puts the copy of a kind in force, unless it is, and then its confirmation. Whoever
// changes a copy calls it afterwards.
func (s *store) putInForce(kind savorypin.Kind) {
	p := s.publications[kind]
	p.mu.Lock()
	defer p.mu.Unlock()
	if objects, state := s.mirrors[kind].Snapshot(); state.Revision != p.revision.Load() {
		p.put(objects, state.Era)
		p.revision.Store(state.Revision)
	}
	s.confirmInForce(kind)
}

// confirmInForce puts the confirmation of a copy in force if the copy itself is. Otherwise
// putInForce does so later. It never waits.
func (s *store) confirmInForce(kind savorypin.Kind) {
	state := s.mirrors[kind].State()
	p := s.publications[kind]
	if state.Revision != p.revision.Load() {
		return
	}
	p.confirmedAt.Store(int64(state.ConfirmedAt))
	switch kind {
	case s.cfg.Objects.Configuration.Kind:
		s.view.confirm(state.ConfirmedAt)
	case s.cfg.Objects.EndpointKind:
		if s.listed.Load() {
			s.view.listed.Store(true)
		}
	}
}
