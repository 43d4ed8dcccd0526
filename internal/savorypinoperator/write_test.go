package savorypinoperator

import (
	"context"
	"encoding/json"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinplatform"
	"savorypin/internal/savorypinstandin"
)

var _ = Describe("writer", func() {
	var platform *savorypinstandin.Platform
	var client *savorypinplatform.Client
	var w writer
	key := savorypin.Key{Kind: savorypin.KindOrganisation, Name: "shops"}
	order := func(id, by string, version int64) savorypin.Object {
		return savorypin.Object{By: by, Key: key, Order: id, Spec: json.RawMessage(`{}`), Version: version}
	}

	BeforeEach(func() {
		platform = savorypinstandin.NewPlatform()
		server := httptest.NewServer(platform)
		DeferCleanup(server.Close)
		client = savorypinplatform.NewClient(savorypinplatform.Config{URL: server.URL})
		w = writer{create: client.Create, get: client.Get, delete: client.Delete, update: client.Update}
	})

	It("recognizes a create and an update whose answers were lost", func(ctx SpecContext) {
		for _, id := range []string{"first", "second"} {
			platform.LoseAnswers(1)
			written, err := w.write(ctx, order(id, "a", 0))
			Expect(err).NotTo(HaveOccurred())
			Expect(written.Order).To(Equal(id))
		}
	})

	It("recognizes its write by the order id if the answer was lost and another operator wrote before the read-back", func(ctx SpecContext) {
		_, err := w.write(ctx, order("first", "a", 0))
		Expect(err).NotTo(HaveOccurred())
		other := w
		w.update = func(ctx context.Context, o savorypin.Object) (savorypin.Object, error) {
			platform.LoseAnswers(1)
			_, err := client.Update(ctx, o)
			Expect(err).To(HaveOccurred())
			_, otherErr := other.write(ctx, order("third", "b", 0))
			Expect(otherErr).NotTo(HaveOccurred())
			return savorypin.Object{}, err
		}
		written, err := w.write(ctx, order("second", "a", 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(written.Order).To(Equal("third"))
		Expect(written.Earlier).To(Equal([]string{"first", "second"}))
	})

	for _, tc := range []struct {
		name    string
		version int64
		want    []string
	}{
		{"with a write that came after the read", 0, []string{"version 1", "b has written version 2"}},
		{"with a write that came after the version of the order", 1, []string{"version 1", "b has written version 2"}},
	} {
		It("reports both versions in a conflict "+tc.name, func(ctx SpecContext) {
			_, err := w.write(ctx, order("first", "a", 0))
			Expect(err).NotTo(HaveOccurred())
			other := w
			w.update = func(ctx context.Context, o savorypin.Object) (savorypin.Object, error) {
				_, err := other.write(ctx, order("second", "b", 0))
				Expect(err).NotTo(HaveOccurred())
				return client.Update(ctx, o)
			}
			_, err = w.write(ctx, order("third", "a", tc.version))
			Expect(savorypin.KindOf(err)).To(Equal(savorypin.KindConflict))
			for _, want := range tc.want {
				Expect(err.Error()).To(ContainSubstring(want))
			}
		})
	}

	It("refuses an order for a version of an object that does not exist", func(ctx SpecContext) {
		_, err := w.write(ctx, order("first", "a", 7))
		Expect(savorypin.KindOf(err)).To(Equal(savorypin.KindConflict))
	})

	It("recognizes a delete whose answer was lost", func(ctx SpecContext) {
		_, err := w.write(ctx, order("first", "a", 0))
		Expect(err).NotTo(HaveOccurred())
		platform.LoseAnswers(1)
		Expect(w.remove(ctx, key)).To(Succeed())
		Expect(w.remove(ctx, key)).To(MatchError(savorypinplatform.ErrNotFound))
	})

	It("does not delete an object that another operator has written meanwhile", func(ctx SpecContext) {
		_, err := w.write(ctx, order("first", "a", 0))
		Expect(err).NotTo(HaveOccurred())
		other := w
		w.delete = func(ctx context.Context, key savorypin.Key, version int64) error {
			_, err := other.write(ctx, order("second", "b", 0))
			Expect(err).NotTo(HaveOccurred())
			return client.Delete(ctx, key, version)
		}
		err = w.remove(ctx, key)
		Expect(savorypin.KindOf(err)).To(Equal(savorypin.KindConflict))
		Expect(err.Error()).To(And(ContainSubstring("version 1"), ContainSubstring("b has written version 2")))
	})
})
