package savorypinmirror_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmirror"
)

func object(name string, version int64) savorypin.Object {
	return savorypin.Object{Key: savorypin.Key{Name: name}, Version: version}
}

func deleted(name string, version int64) savorypin.Object {
	o := object(name, version)
	o.Deleted = true
	return o
}

var _ = Describe("A mirror", func() {
	for _, c := range []struct {
		name    string
		changes []savorypin.Object
		want    []savorypin.Object
	}{
		{"applies newer versions", []savorypin.Object{object("a", 1), object("a", 3)}, []savorypin.Object{object("a", 3)}},
		{"ignores older versions", []savorypin.Object{object("a", 3), object("a", 1)}, []savorypin.Object{object("a", 3)}},
		{"applies deletions", []savorypin.Object{object("a", 1), deleted("a", 2)}, nil},
		{"ignores an older version after a deletion", []savorypin.Object{deleted("a", 2), object("a", 1)}, nil},
		{"applies a new object with the name of a deleted one", []savorypin.Object{deleted("a", 2), object("a", 3)}, []savorypin.Object{object("a", 3)}},
		{"ignores a deletion older than the object", []savorypin.Object{object("a", 3), deleted("a", 2)}, []savorypin.Object{object("a", 3)}},
	} {
		It(c.name, func() {
			m := savorypinmirror.New()
			for _, o := range c.changes {
				m.Apply(o)
			}
			Expect(m.Objects()).To(Equal(c.want))
		})
	}

	// Guards against a change that is never put in force, or a copy that counts as changed for good.
	for _, c := range []struct {
		name   string
		change func(*savorypinmirror.Mirror) bool
		want   bool
	}{
		{"a newer version", func(m *savorypinmirror.Mirror) bool { return m.Apply(object("a", 5)) }, true},
		{"the same version", func(m *savorypinmirror.Mirror) bool { return m.Apply(object("a", 4)) }, false},
		{"a deletion", func(m *savorypinmirror.Mirror) bool { return m.Apply(deleted("a", 5)) }, true},
		{"a deletion of an unknown object", func(m *savorypinmirror.Mirror) bool { return m.Apply(deleted("b", 5)) }, false},
		{"the same list", func(m *savorypinmirror.Mirror) bool { return m.Replace([]savorypin.Object{object("a", 4)}, 6, 0) }, false},
		{"a list without the object", func(m *savorypinmirror.Mirror) bool { return m.Replace(nil, 6, 0) }, true},
		{"a list of a later era", func(m *savorypinmirror.Mirror) bool { return m.Replace([]savorypin.Object{object("a", 4)}, 4, 1) }, true},
	} {
		It("has a new revision exactly if its objects change, after "+c.name, func() {
			m := savorypinmirror.New()
			m.Apply(object("a", 4))
			_, before := m.Snapshot()
			Expect(c.change(m)).To(Equal(c.want))
			objects, after := m.Snapshot()
			Expect(after.Revision > before.Revision).To(Equal(c.want))
			Expect(objects).To(Equal(m.Objects()))
		})
	}

	It("removes objects that a list lacks, unless they are newer than the list", func() {
		m := savorypinmirror.New()
		m.Apply(object("old", 2))
		m.Apply(object("new", 9))
		m.Replace([]savorypin.Object{object("listed", 4)}, 5, 0)
		Expect(m.Objects()).To(Equal([]savorypin.Object{object("listed", 4), object("new", 9)}))
	})

	It("sends all objects to a mirror that requests changes since a version if later deletions are no longer remembered", func() {
		m, other := savorypinmirror.New(), savorypinmirror.New()
		other.Apply(object("old", 1))
		m.Merge(other.ChangesSince(0, 0))
		version := int64(1)
		for i := range 2000 {
			version += 2
			m.Apply(object(fmt.Sprint("x", i), version))
			m.Apply(deleted(fmt.Sprint("x", i), version+1))
		}
		m.Apply(deleted("old", version+5))
		m.Advance(version+5, 0)
		d := m.ChangesSince(1, 0)
		Expect(d.Full).To(BeTrue())
		other.Merge(d)
		Expect(other.Objects()).To(BeEmpty())
	})

	It("does not miss a deletion when it merges from a mirror that was made from a later list", func() {
		reader, restarted := savorypinmirror.New(), savorypinmirror.New()
		reader.Replace([]savorypin.Object{object("kept", 1), object("gone", 2)}, 4, 0)
		// The object is deleted at version 6. Another gateway then restarts, lists the objects at
		// version 8 and so doesn't know of the deletion.
		restarted.Replace([]savorypin.Object{object("kept", 1)}, 8, 0)
		Expect(reader.State().Relate(restarted.State())).To(Equal(savorypinmirror.RelationUnknown))
		reader.Merge(restarted.ChangesSince(reader.State().Version, reader.State().Era))
		Expect(reader.Objects()).To(Equal([]savorypin.Object{object("kept", 1)}))
		Expect(reader.State().Relate(restarted.State())).To(Equal(savorypinmirror.RelationCovered))
	})

	It("agrees with the store after any exchange of changes between mirrors", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			sim := newSimulation()
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				sim.step(t)
			}
			sim.syncAll()
			for _, m := range sim.mirrors {
				if got, want := fmt.Sprint(m.Objects()), fmt.Sprint(sim.store.Objects()); got != want {
					t.Fatalf("mirror contains %s, store contains %s", got, want)
				}
			}
		})
	})
})

var _ = Describe("A mirror in a new era of the store", func() {
	inEra := func(era int64, o savorypin.Object) savorypin.Object {
		o.Era = era
		return o
	}
	// olderMirror returns a confirmed mirror made from a list at version 9 of era 1.
	olderMirror := func() *savorypinmirror.Mirror {
		m := savorypinmirror.New()
		m.Replace([]savorypin.Object{object("a", 4), object("b", 9)}, 9, 1)
		m.Confirm(time.Second, 1)
		return m
	}
	// newerMirror returns a mirror made from a list at version 6 of era 2.
	newerMirror := func() *savorypinmirror.Mirror {
		m := savorypinmirror.New()
		m.Replace([]savorypin.Object{object("a", 3)}, 6, 2)
		return m
	}
	for _, c := range []struct {
		name string
		do   func(*savorypinmirror.Mirror)
		want []savorypin.Object
	}{
		{
			"replaces its content with a list of a later era with lower versions",
			func(m *savorypinmirror.Mirror) { m.Replace([]savorypin.Object{object("a", 3)}, 6, 2) },
			[]savorypin.Object{inEra(2, object("a", 3))},
		},
		{
			"replaces its content with that of a mirror of a later era",
			func(m *savorypinmirror.Mirror) { m.Merge(newerMirror().ChangesSince(m.State().Version, m.State().Era)) },
			[]savorypin.Object{inEra(2, object("a", 3))},
		},
		{
			"ignores a single change of a later era",
			func(m *savorypinmirror.Mirror) { m.Apply(inEra(2, object("a", 12))) },
			[]savorypin.Object{inEra(1, object("a", 4)), inEra(1, object("b", 9))},
		},
		{
			"ignores everything of an earlier era",
			func(m *savorypinmirror.Mirror) {
				m.Replace([]savorypin.Object{object("a", 3)}, 6, 2)
				m.Replace([]savorypin.Object{object("b", 20)}, 20, 1)
				m.Merge(olderMirror().ChangesSince(0, 0))
				m.Apply(inEra(1, object("b", 30)))
			},
			[]savorypin.Object{inEra(2, object("a", 3))},
		},
	} {
		It(c.name, func() {
			m := olderMirror()
			c.do(m)
			Expect(m.Objects()).To(Equal(c.want))
		})
	}

	It("is ahead of a mirror of an earlier era, and ignores confirmations of that era", func() {
		older, newer := olderMirror(), newerMirror()
		Expect(older.State().Relate(newer.State())).To(Equal(savorypinmirror.RelationAhead))
		Expect(newer.State().Relate(older.State())).To(Equal(savorypinmirror.RelationUnknown))
		newer.Confirm(time.Hour, 1)
		newer.Advance(100, 1)
		Expect(newer.State().ConfirmedAt).To(BeZero())
		Expect(newer.State().Version).To(Equal(int64(6)))
	})

	It("keeps content that its writer numbered higher than the content of the restored store", func() {
		m := olderMirror()
		written := object("a", 4)
		written.Spec = []byte("2")
		m.Replace([]savorypin.Object{object("a", 3)}, 6, 2)
		m.ReplaceIfLater(written, func(a, b savorypin.Object) bool { return string(a.Spec) > string(b.Spec) })
		Expect(m.Objects()).To(HaveLen(1))
		Expect(m.Objects()[0].Spec).To(BeEquivalentTo("2"))
		Expect(m.Objects()[0].Version).To(Equal(int64(3)))
		Expect(m.Objects()[0].Era).To(Equal(int64(2)))
	})
})

// simulation is a store with mirrors that read from it and from each other.
type simulation struct {
	// snapshots are the states from which the store may be restored.
	snapshots []storeSnapshot
	era       int64
	events    []savorypin.Object
	mirrors   []*savorypinmirror.Mirror
	store     *savorypinmirror.Mirror
	version   int64
}

// storeSnapshot is the content of the store at a version.
type storeSnapshot struct {
	events  []savorypin.Object
	objects []savorypin.Object
	version int64
}

func newSimulation() *simulation {
	s := &simulation{store: savorypinmirror.New()}
	for range 3 {
		s.mirrors = append(s.mirrors, savorypinmirror.New())
	}
	return s
}

// step performs one random operation and checks that a mirror's era never decreases.
func (s *simulation) step(t *rapid.T) {
	m := s.mirrors[rapid.IntRange(0, len(s.mirrors)-1).Draw(t, "mirror")]
	other := s.mirrors[rapid.IntRange(0, len(s.mirrors)-1).Draw(t, "other")]
	era := m.State().Era
	defer func() {
		if now := m.State().Era; now < era {
			t.Fatalf("era of mirror decreased from %d to %d", era, now)
		}
	}()
	switch rapid.IntRange(0, 7).Draw(t, "operation") {
	case 6:
		s.snapshots = append(s.snapshots, storeSnapshot{events: s.events, objects: s.store.Objects(), version: s.version})
	case 7:
		s.restoreStore(t)
	case 0, 1:
		s.change(t)
	case 2:
		m.Replace(s.store.Objects(), s.version, s.era)
	case 3:
		s.watch(m)
	case 4:
		syncFrom(m, other)
	default:
		m.Merge(other.ChangesSince(m.State().Version, m.State().Era))
	}
}

// restoreStore restores the store from a snapshot, in a new era.
func (s *simulation) restoreStore(t *rapid.T) {
	if len(s.snapshots) == 0 {
		return
	}
	from := rapid.SampledFrom(s.snapshots).Draw(t, "snapshot")
	s.snapshots = nil
	s.era++
	s.events, s.version = from.events, from.version
	s.store = savorypinmirror.New()
	s.store.Replace(from.objects, from.version, s.era)
}

func (s *simulation) change(t *rapid.T) {
	s.version++
	o := object(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), s.version)
	o.Deleted = rapid.Bool().Draw(t, "deleted")
	o.Era = s.era
	s.events = append(slices.Clip(s.events), o)
	s.store.Apply(o)
}

// watch applies the events that a mirror lacks. If the store is in another era, it replaces the
// mirror's content with a list instead.
func (s *simulation) watch(m *savorypinmirror.Mirror) {
	at := m.State().Version
	if m.State().Era != s.era {
		m.Replace(s.store.Objects(), s.version, s.era)
		return
	}
	for _, e := range s.events {
		if e.Version > at {
			m.Apply(e)
		}
	}
	m.Advance(s.version, s.era)
}

// syncFrom updates m from other as the relation of their states requires.
func syncFrom(m, other *savorypinmirror.Mirror) {
	switch m.State().Relate(other.State()) {
	case savorypinmirror.RelationAhead:
		m.Merge(other.ChangesSince(m.State().Version, m.State().Era))
	case savorypinmirror.RelationCovered:
		m.Advance(other.State().Version, other.State().Era)
	case savorypinmirror.RelationUnknown:
	}
}

// syncAll updates one mirror from the store and the others from that mirror.
func (s *simulation) syncAll() {
	s.watch(s.mirrors[0])
	for _, m := range s.mirrors[1:] {
		m.Merge(s.mirrors[0].ChangesSince(m.State().Version, m.State().Era))
	}
}
