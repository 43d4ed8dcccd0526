package savorypinslopes

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

// storeDelay is the time that the platform takes to answer.
const storeDelay = 5 * time.Millisecond

// storeModel is a fake of the platform's object API.
type storeModel struct {
	fleet   *Fleet
	objects map[savorypin.Key]savorypin.Object
	out     bool
	readers []*reader
	version int64
}

func newStoreModel(f *Fleet) *storeModel {
	return &storeModel{fleet: f, objects: map[savorypin.Key]savorypin.Object{}}
}

// SetOutage starts or ends an outage of the platform.
func (f *Fleet) SetOutage(out bool) {
	f.store.out = out
}

// Write writes an object to the platform, as an operator would, or deletes it.
func (f *Fleet) Write(kind savorypin.Kind, name string, deleted bool) savorypin.Object {
	s := f.store
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

// reader is the part of a daemon that watches the platform.
type reader struct {
	node     *Node
	opened   map[savorypin.Kind]time.Time
	reading  bool
	silent   bool
	versions map[savorypin.Kind]int64
}

func newReader(n *Node) *reader {
	r := &reader{node: n, opened: map[savorypin.Kind]time.Time{}, versions: map[savorypin.Kind]int64{}}
	f := n.fleet
	f.store.readers = append(f.store.readers, r)
	return r
}

// alive reports whether the daemon still runs in the life of this reader.
func (r *reader) alive() bool {
	return r.node.running && r.node.reader == r
}

// step opens the watches that are due.
func (r *reader) step() {
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
	r.reading = savorypinconfig.Reads(r.node.describe(), live)
	if !r.reading || f.store.out {
		clear(r.opened)
		return
	}
	for _, kind := range savorypin.ConfigKinds {
		if f.now.Sub(r.opened[kind]) < savorypinplatform.DefaultWatchTimeout {
			continue
		}
		r.opened[kind] = f.now
		r.silent = false
		r.open(kind)
	}
}

// open lists a kind at first, and then asks for what came since.
func (r *reader) open(kind savorypin.Kind) {
	f := r.node.fleet
	if r.versions[kind] == 0 {
		f.counts.Calls["list"]++
		var objects []savorypin.Object
		for key, o := range f.store.objects {
			if key.Kind == kind && !o.Deleted {
				objects = append(objects, o)
			}
		}
		version := f.store.version
		r.versions[kind] = version
		r.later(func() {
			r.node.sendExchanges(r.node.distributor.Relist(kind, objects, version))
			r.node.readiness.Listed(kind)
		})
	}
	f.counts.Calls["watch"]++
	for key, o := range f.store.objects {
		if key.Kind == kind && o.Version > r.versions[kind] {
			r.deliver(o)
		}
	}
	r.versions[kind] = max(1, f.store.version)
}

// deliver sends an event of a watch.
func (r *reader) deliver(o savorypin.Object) {
	if _, open := r.opened[o.Kind]; !open || !r.reading || r.silent || !r.alive() || r.node.fleet.store.out {
		return
	}
	r.versions[o.Kind] = o.Version
	r.later(func() { r.node.sendExchanges(r.node.distributor.Apply(o)) })
}

func (r *reader) later(run func()) {
	life := r.node.life
	r.node.fleet.after(storeDelay, func() { r.node.whenAwake(life, run) })
}

// Silence makes all open watches silent for good. New ones work.
func (f *Fleet) Silence() {
	for _, r := range f.store.readers {
		r.silent = true
	}
}
