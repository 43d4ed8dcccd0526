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
		{"takes newer versions", []savorypin.Object{object("a", 1), object("a", 3)}, []savorypin.Object{object("a", 3)}},
		{"never goes back", []savorypin.Object{object("a", 3), object("a", 1)}, []savorypin.Object{object("a", 3)}},
		{"keeps deletions", []savorypin.Object{object("a", 1), deleted("a", 2)}, nil},
		{"is not fooled by an old version after a deletion", []savorypin.Object{deleted("a", 2), object("a", 1)}, nil},
		{"lets a name come back", []savorypin.Object{deleted("a", 2), object("a", 3)}, []savorypin.Object{object("a", 3)}},
		{"ignores a late deletion", []savorypin.Object{object("a", 3), deleted("a", 2)}, []savorypin.Object{object("a", 3)}},
	} {
		It(c.name, func() {
			m := savorypinmirror.New()
			for _, o := range c.changes {
				m.Apply(o)
			}
			Expect(m.Objects()).To(Equal(c.want))
		})
	}

	It("drops what a list lacks, but nothing that is newer than the list", func() {
		m := savorypinmirror.New()
		m.Apply(object("old", 2))
		m.Apply(object("new", 9))
		m.Replace([]savorypin.Object{object("listed", 4)}, 5, 0)
		Expect(m.Objects()).To(Equal([]savorypin.Object{object("listed", 4), object("new", 9)}))
	})

	It("sends all objects to a mirror that asks from before the deletions it knows", func() {
		m, other := savorypinmirror.New(), savorypinmirror.New()
		other.Apply(object("victim", 1))
		m.Merge(other.Since(0, 0))
		version := int64(1)
		for i := range 2000 {
			version += 2
			m.Apply(object(fmt.Sprint("x", i), version))
			m.Apply(deleted(fmt.Sprint("x", i), version+1))
		}
		m.Apply(deleted("victim", version+5))
		m.Advance(version+5, 0)
		d := m.Since(1, 0)
		Expect(d.Full).To(BeTrue())
		other.Merge(d)
		Expect(other.Objects()).To(BeEmpty())
	})

	It("does not pass over a deletion that a copy which was just listed does not know", func() {
		reader, restarted := savorypinmirror.New(), savorypinmirror.New()
		reader.Replace([]savorypin.Object{object("kept", 1), object("gone", 2)}, 4, 0)
		// The object is deleted at version 6; then another gateway starts again.
		restarted.Replace([]savorypin.Object{object("kept", 1)}, 8, 0)
		Expect(reader.State().Relate(restarted.State())).To(Equal(savorypinmirror.RelationUnknown))
		reader.Merge(restarted.Since(reader.State().At, reader.State().Era))
		Expect(reader.Objects()).To(Equal([]savorypin.Object{object("kept", 1)}))
		Expect(reader.State().Relate(restarted.State())).To(Equal(savorypinmirror.RelationCovered))
	})

	It("agrees with the store after any exchange of changes between mirrors", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			world := newWorld()
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				world.step(t)
			}
			world.settle()
			for _, m := range world.mirrors {
				if got, want := fmt.Sprint(m.Objects()), fmt.Sprint(world.truth.Objects()); got != want {
					t.Fatalf("mirror has %s, store has %s", got, want)
				}
			}
		})
	})
})

var _ = Describe("A mirror in another era of the store", func() {
	inEra := func(era int64, o savorypin.Object) savorypin.Object {
		o.Era = era
		return o
	}
	// holding returns a mirror that read version 9 in era 1 and was confirmed then.
	holding := func() *savorypinmirror.Mirror {
		m := savorypinmirror.New()
		m.Replace([]savorypin.Object{object("a", 4), object("b", 9)}, 9, 1)
		m.Confirm(time.Second, 1)
		return m
	}
	later := func() *savorypinmirror.Mirror {
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
			"takes a list with lower versions as a whole",
			func(m *savorypinmirror.Mirror) { m.Replace([]savorypin.Object{object("a", 3)}, 6, 2) },
			[]savorypin.Object{inEra(2, object("a", 3))},
		},
		{
			"takes a list of another mirror as a whole",
			func(m *savorypinmirror.Mirror) { m.Merge(later().Since(m.State().At, m.State().Era)) },
			[]savorypin.Object{inEra(2, object("a", 3))},
		},
		{
			"does not mix in a single change",
			func(m *savorypinmirror.Mirror) { m.Apply(inEra(2, object("a", 12))) },
			[]savorypin.Object{inEra(1, object("a", 4)), inEra(1, object("b", 9))},
		},
		{
			"does not take an earlier list after a later one",
			func(m *savorypinmirror.Mirror) {
				m.Replace([]savorypin.Object{object("a", 3)}, 6, 2)
				m.Replace([]savorypin.Object{object("b", 20)}, 20, 1)
				m.Merge(holding().Since(0, 0))
				m.Apply(inEra(1, object("b", 30)))
			},
			[]savorypin.Object{inEra(2, object("a", 3))},
		},
	} {
		It(c.name, func() {
			m := holding()
			c.do(m)
			Expect(m.Objects()).To(Equal(c.want))
		})
	}

	It("is ahead of one of an earlier era, and is not confirmed by it", func() {
		old, now := holding(), later()
		Expect(old.State().Relate(now.State())).To(Equal(savorypinmirror.RelationAhead))
		Expect(now.State().Relate(old.State())).To(Equal(savorypinmirror.RelationUnknown))
		now.Confirm(time.Hour, 1)
		now.Advance(100, 1)
		Expect(now.State().Confirmed).To(BeZero())
		Expect(now.State().At).To(Equal(int64(6)))
	})

	It("keeps what its writer numbers higher than what the store came back with", func() {
		m := holding()
		written := object("a", 4)
		written.Spec = []byte("2")
		m.Replace([]savorypin.Object{object("a", 3)}, 6, 2)
		m.Keep(written, func(a, b savorypin.Object) bool { return string(a.Spec) > string(b.Spec) })
		Expect(m.Objects()).To(HaveLen(1))
		Expect(m.Objects()[0].Spec).To(BeEquivalentTo("2"))
		Expect(m.Objects()[0].Version).To(Equal(int64(3)))
		Expect(m.Objects()[0].Era).To(Equal(int64(2)))
	})
})

// world is a store with mirrors that read it and each other.
type world struct {
	// copies are the states of the store that it may come back to.
	copies  []storeCopy
	era     int64
	events  []savorypin.Object
	mirrors []*savorypinmirror.Mirror
	truth   *savorypinmirror.Mirror
	version int64
}

// storeCopy is the state of a store at a version.
type storeCopy struct {
	events  []savorypin.Object
	objects []savorypin.Object
	version int64
}

func newWorld() *world {
	w := &world{truth: savorypinmirror.New()}
	for range 3 {
		w.mirrors = append(w.mirrors, savorypinmirror.New())
	}
	return w
}

// step lets one thing happen.
func (w *world) step(t *rapid.T) {
	m := w.mirrors[rapid.IntRange(0, len(w.mirrors)-1).Draw(t, "mirror")]
	other := w.mirrors[rapid.IntRange(0, len(w.mirrors)-1).Draw(t, "other")]
	era := m.State().Era
	defer func() {
		if now := m.State().Era; now < era {
			t.Fatalf("mirror went back from era %d to %d", era, now)
		}
	}()
	switch rapid.IntRange(0, 7).Draw(t, "what") {
	case 6:
		w.copies = append(w.copies, storeCopy{events: w.events, objects: w.truth.Objects(), version: w.version})
	case 7:
		w.comeBack(t)
	case 0, 1:
		w.change(t)
	case 2:
		m.Replace(w.truth.Objects(), w.version, w.era)
	case 3:
		w.watch(m)
	case 4:
		hear(m, other)
	default:
		m.Merge(other.Since(m.State().At, m.State().Era))
	}
}

// comeBack lets the store come back from a copy, in another era.
func (w *world) comeBack(t *rapid.T) {
	if len(w.copies) == 0 {
		return
	}
	from := rapid.SampledFrom(w.copies).Draw(t, "copy")
	w.copies = nil
	w.era++
	w.events, w.version = from.events, from.version
	w.truth = savorypinmirror.New()
	w.truth.Replace(from.objects, from.version, w.era)
}

func (w *world) change(t *rapid.T) {
	w.version++
	o := object(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), w.version)
	o.Deleted = rapid.Bool().Draw(t, "deleted")
	o.Era = w.era
	w.events = append(slices.Clip(w.events), o)
	w.truth.Apply(o)
}

// watch gives a mirror the events after those that it has read, or a list if they are
// of another era.
func (w *world) watch(m *savorypinmirror.Mirror) {
	at := m.State().At
	if m.State().Era != w.era {
		m.Replace(w.truth.Objects(), w.version, w.era)
		return
	}
	for _, e := range w.events {
		if e.Version > at {
			m.Apply(e)
		}
	}
	m.Advance(w.version, w.era)
}

// hear lets a mirror hear how far another one is.
func hear(m, other *savorypinmirror.Mirror) {
	switch m.State().Relate(other.State()) {
	case savorypinmirror.RelationAhead:
		m.Merge(other.Since(m.State().At, m.State().Era))
	case savorypinmirror.RelationCovered:
		m.Advance(other.State().At, other.State().Era)
	case savorypinmirror.RelationUnknown:
	}
}

// settle lets one mirror read the store and the others ask it.
func (w *world) settle() {
	w.watch(w.mirrors[0])
	for _, m := range w.mirrors[1:] {
		m.Merge(w.mirrors[0].Since(m.State().At, m.State().Era))
	}
}
