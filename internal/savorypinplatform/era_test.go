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
	"savorypin/internal/savorypintest"
)

func TestPlatform(t *testing.T) {
	savorypintest.RunSuite(t, "Platform")
}

const eraHeader = "Era"

// testKind is the kind of all objects in the specs.
const testKind savorypin.Kind = "things"

// newDialect returns a dialect whose response bodies hold only the version of an
// object, or in lists the next page.
func newDialect() savorypinplatform.Dialect {
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

// response is one response of the store; an empty era sends no era header.
type response struct{ era, body string }

// newClient returns a client of a store that sends the given responses in turn, and the
// number of calls that reached the store. The eras that begin are appended to began.
func newClient(began *[]int64, responses ...response) (*savorypinplatform.Client, *int) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		resp := responses[min(calls, len(responses)-1)]
		calls++
		if resp.era != "" {
			w.Header().Set(eraHeader, resp.era)
		}
		_, err := w.Write([]byte(resp.body))
		Expect(err).NotTo(HaveOccurred())
	}))
	DeferCleanup(server.Close)
	return savorypinplatform.NewClient(savorypinplatform.Config{
		Dialect: newDialect(), OnNewEra: func(era int64) { *began = append(*began, era) }, URL: server.URL,
	}), &calls
}

var _ = Describe("A response of another era of the store", func() {
	for _, tc := range []struct {
		name      string
		responses []response
		// eras are those of the returned objects; -1 stands for an error.
		eras  []int64
		began []int64
	}{
		{"sets the era of its objects", []response{{"3", "7"}, {"3", "8"}, {"4", "5"}}, []int64{3, 3, 4}, []int64{4}},
		{"is an error after a response of a later era", []response{{"4", "5"}, {"3", "9"}, {"4", "6"}}, []int64{4, -1, 4}, nil},
		{"is an error if its era is malformed", []response{{"4", "5"}, {"four", "6"}, {"4", "7"}}, []int64{4, -1, 4}, nil},
		{"belongs to the newest era if it names none", []response{{"4", "5"}, {"", "6"}}, []int64{4, 4}, nil},
		{"belongs to era 0 if no response names an era", []response{{"", "5"}}, []int64{0}, nil},
	} {
		It(tc.name, func() {
			var began, eras []int64
			client, _ := newClient(&began, tc.responses...)
			for range tc.responses {
				o, err := client.Get(context.Background(), savorypin.Key{Kind: testKind, Name: "x"})
				if err != nil {
					Expect(err).To(MatchError(savorypinplatform.ErrUnavailable))
					o.Era = -1
				}
				eras = append(eras, o.Era)
			}
			Expect(eras).To(Equal(tc.eras))
			Expect(began).To(Equal(tc.began))
		})
	}

	It("fails a list whose pages are of different eras", func() {
		var began []int64
		client, _ := newClient(&began, response{"1", "a"}, response{"2", ""}, response{"2", ""})
		_, err := client.ListAll(context.Background(), testKind)
		Expect(err).To(MatchError(savorypinplatform.ErrUnavailable))
		listing, err := client.ListAll(context.Background(), testKind)
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Era).To(Equal(int64(2)))
	})

	It("sends no write that is conditional on a version of an earlier era", func() {
		var began []int64
		client, calls := newClient(&began, response{"1", "5"}, response{"2", "4"})
		old, err := client.Get(context.Background(), savorypin.Key{Kind: testKind, Name: "x"})
		Expect(err).NotTo(HaveOccurred())
		current, err := client.Get(context.Background(), savorypin.Key{Kind: testKind, Name: "x"})
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Update(context.Background(), old)
		Expect(savorypinplatform.IsConflict(err)).To(BeTrue())
		Expect(*calls).To(Equal(2))
		_, err = client.Update(context.Background(), current)
		Expect(err).NotTo(HaveOccurred())
	})
})
