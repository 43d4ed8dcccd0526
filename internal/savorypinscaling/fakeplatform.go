package savorypinscaling

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
	"savorypin/internal/savorypinmembership"
	"savorypin/internal/savorypinplatform"
)

// platformDelay is the time that the platform takes to answer.
const platformDelay = 5 * time.Millisecond

// fakePlatform is a fake of the platform's object API.
type fakePlatform struct {
	fleet   *Fleet
	objects map[savorypin.Key]savorypin.Object
	outage  bool
	readers []*reader
	version int64
}

func newFakePlatform(f *Fleet) *fakePlatform {
	return &fakePlatform{fleet: f, objects: map[savorypin.Key]savorypin.Object{}}
}

// SetOutage starts or ends an outage of the platform.
func (f *Fleet) SetOutage(outage bool) {
	f.platform.outage = outage
}

// Write writes a new version of an object to the platform, as an operator would,
// or deletes the object.
func (f *Fleet) Write(kind savorypin.Kind, name string, deleted bool) savorypin.Object {
	s := f.platform
	s.version++
	o := savorypin.Object{
		Deleted: deleted,
		Key:     savorypin.Key{Kind: kind, Name: name},
		Order:   fmt.Sprintf("00000000-0000-0000-0000-%012d", s.version),
		Spec:    json.RawMessage(fmt.Sprintf(`{"tokensPerSecond":1000,"tokenSha256":[%q]}`, strings.Repeat("0", 64))),
		Version: s.version,
	}
	s.objects[o.Key] = o
	for _, r := range s.readers {
		r.deliver(o)
	}
	return o
}

// reader is the part of a daemon that lists and watches the platform's objects.
type reader struct {
	node     *Node
	opened   map[savorypin.Kind]time.Time
	reading  bool
	stalled  bool
	versions map[savorypin.Kind]int64
}

func newReader(n *Node) *reader {
	r := &reader{node: n, opened: map[savorypin.Kind]time.Time{}, versions: map[savorypin.Kind]int64{}}
	f := n.fleet
	f.platform.readers = append(f.platform.readers, r)
	return r
}

// current reports whether the daemon runs and still uses this reader.
func (r *reader) current() bool {
	return r.node.running && r.node.reader == r
}

// openDue opens the watches that are due if the daemon is one of those that read
// the platform.
func (r *reader) openDue() {
	f := r.node.fleet
	if r.node.readiness.Joining() {
		return
	}
	var live []savorypin.MemberState
	for _, m := range r.node.gossip.View().All() {
		if m.Health() == savorypinmembership.HealthLive {
			live = append(live, m.State())
		}
	}
	r.reading = savorypinconfig.IsReader(r.node.describe(), live)
	if !r.reading || f.platform.outage {
		clear(r.opened)
		return
	}
	for _, kind := range savorypin.ConfigKinds {
		if f.now.Sub(r.opened[kind]) < savorypinplatform.DefaultWatchTimeout {
			continue
		}
		r.opened[kind] = f.now
		r.stalled = false
		r.open(kind)
	}
}

// open lists the objects of a kind if it has not done so yet, and watches their
// changes from then on.
func (r *reader) open(kind savorypin.Kind) {
	f := r.node.fleet
	if r.versions[kind] == 0 {
		f.counts.Calls["list"]++
		var objects []savorypin.Object
		for key, o := range f.platform.objects {
			if key.Kind == kind && !o.Deleted {
				objects = append(objects, o)
			}
		}
		version := f.platform.version
		r.versions[kind] = version
		r.schedule(func() {
			r.node.sendExchanges(r.node.distributor.ApplyList(kind, objects, version))
			r.node.readiness.RecordListed(kind)
		})
	}
	f.counts.Calls["watch"]++
	for key, o := range f.platform.objects {
		if key.Kind == kind && o.Version > r.versions[kind] {
			r.deliver(o)
		}
	}
	r.versions[kind] = max(1, f.platform.version)
}

// deliver sends an object to the daemon as an event of its watch, if that is open.
func (r *reader) deliver(o savorypin.Object) {
	if _, open := r.opened[o.Kind]; !open || !r.reading || r.stalled || !r.current() || r.node.fleet.platform.outage {
		return
	}
	r.versions[o.Kind] = o.Version
	r.schedule(func() { r.node.sendExchanges(r.node.distributor.Apply(o)) })
}

// schedule runs a function after platformDelay unless the daemon has ended or
// restarted by then.
func (r *reader) schedule(run func()) {
	epoch := r.node.epoch
	r.node.fleet.schedule(platformDelay, func() { r.node.runUnpaused(epoch, run) })
}

// StallWatches stops all open watches from sending events for good, without
// closing them. Later watches work.
func (f *Fleet) StallWatches() {
	for _, r := range f.platform.readers {
		r.stalled = true
	}
}
