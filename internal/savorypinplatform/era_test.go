package savorypinplatform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinplatform"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Platform")
}

const eraHeader = "Era"

// kind is the kind of all objects of the specs.
const kind savorypin.Kind = "things"

// dialect spells calls so that an answer's body is an object's version.
func dialect() savorypinplatform.Dialect {
	return savorypinplatform.Dialect{
		Decode: func(kind savorypin.Kind, data []byte) (savorypin.Object, error) {
			version, err := strconv.ParseInt(string(data), 10, 64)
			return savorypin.Object{Key: savorypin.Key{Kind: kind, Name: "x"}, Version: version}, err
		},
		DecodeEra: func(header http.Header) (int64, bool, error) {
			if header.Get(eraHeader) == "" {
				return 0, false, nil
			}
			era, err := strconv.ParseInt(header.Get(eraHeader), 10, 64)
			return era, true, err
		},
		DecodeList: func(_ savorypin.Kind, data []byte) (savorypinplatform.Page, error) {
			return savorypinplatform.Page{Next: string(data), Version: 1}, nil
		},
		Encode:     func(savorypin.Object) ([]byte, error) { return []byte("{}"), nil },
		ListPath:   func(_ savorypin.Kind, after string) string { return "/list" + after },
		ObjectPath: func(savorypin.Key) string { return "/object" },
	}
}

// answer is one answer of a store.
type answer struct{ era, body string }

// clientOf returns a client of a store that gives some answers in turn, and the number
// of calls that reached it.
func clientOf(began *[]int64, answers ...answer) (*savorypinplatform.Client, *int) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a := answers[min(calls, len(answers)-1)]
		calls++
		if a.era != "" {
			w.Header().Set(eraHeader, a.era)
		}
		_, err := w.Write([]byte(a.body))
		Expect(err).NotTo(HaveOccurred())
	}))
	DeferCleanup(server.Close)
	return savorypinplatform.NewClient(savorypinplatform.Config{
		Dialect: dialect(), EraBegan: func(era int64) { *began = append(*began, era) }, URL: server.URL,
	}), &calls
}

var _ = Describe("An answer of another era of the store", func() {
	for _, c := range []struct {
		name    string
		answers []answer
		// eras are those of the objects; -1 stands for an error.
		eras  []int64
		began []int64
	}{
		{"gives its versions its era", []answer{{"3", "7"}, {"3", "8"}, {"4", "5"}}, []int64{3, 3, 4}, []int64{4}},
		{"is not taken after one of a later era", []answer{{"4", "5"}, {"3", "9"}, {"4", "6"}}, []int64{4, -1, 4}, nil},
		{"can't be told where it is malformed", []answer{{"4", "5"}, {"four", "6"}, {"4", "7"}}, []int64{4, -1, 4}, nil},
		{"is of the newest era where it names none", []answer{{"4", "5"}, {"", "6"}}, []int64{4, 4}, nil},
		{"is of the only era where none is ever named", []answer{{"", "5"}}, []int64{0}, nil},
	} {
		It(c.name, func() {
			var began, eras []int64
			client, _ := clientOf(&began, c.answers...)
			for range c.answers {
				o, err := client.Get(context.Background(), savorypin.Key{Kind: kind, Name: "x"})
				if err != nil {
					Expect(err).To(MatchError(savorypinplatform.ErrUnavailable))
					o.Era = -1
				}
				eras = append(eras, o.Era)
			}
			Expect(eras).To(Equal(c.eras))
			Expect(began).To(Equal(c.began))
		})
	}

	It("does not make a list with pages of the era before", func() {
		var began []int64
		client, _ := clientOf(&began, answer{"1", "a"}, answer{"2", ""}, answer{"2", ""})
		_, err := client.ListAll(context.Background(), kind)
		Expect(err).To(MatchError(savorypinplatform.ErrUnavailable))
		listing, err := client.ListAll(context.Background(), kind)
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Era).To(Equal(int64(2)))
	})

	It("lets no write go out that is conditional on a version of the era before", func() {
		var began []int64
		client, calls := clientOf(&began, answer{"1", "5"}, answer{"2", "4"})
		old, err := client.Get(context.Background(), savorypin.Key{Kind: kind, Name: "x"})
		Expect(err).NotTo(HaveOccurred())
		now, err := client.Get(context.Background(), savorypin.Key{Kind: kind, Name: "x"})
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Update(context.Background(), old)
		Expect(savorypinplatform.IsConflict(err)).To(BeTrue())
		Expect(*calls).To(Equal(2))
		_, err = client.Update(context.Background(), now)
		Expect(err).NotTo(HaveOccurred())
	})
})
