package savorypinplatform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"savorypin/internal/savorypin"
)

// Page is one page of the list of a kind.
type Page struct {
	// Next is the argument to ListPath for the next page; empty on the last page.
	Next string
	// Objects are the objects of the page.
	Objects []savorypin.Object
	// Version is the version of the list.
	Version int64
}

// Dialect describes the paths and formats of a platform's object API. The Client makes
// the calls, and behaves the same for all dialects.
type Dialect struct {
	// Decode decodes the object in the body of a response.
	Decode func(savorypin.Kind, []byte) (savorypin.Object, error)
	// DecodeEra returns the era of the store from the headers of a response, and false
	// if they do not name it. Nil means that the store has only one era.
	DecodeEra func(http.Header) (era int64, named bool, err error)
	// DecodeList decodes the page in the body of a response to a list call.
	DecodeList func(savorypin.Kind, []byte) (Page, error)
	// Encode returns the body of a write.
	Encode func(savorypin.Object) ([]byte, error)
	// ListPath returns the path of the page of a kind that follows after. If after is
	// empty, it returns the path of the first page, at which objects are also created.
	ListPath func(kind savorypin.Kind, after string) string
	// ObjectPath returns the path of an object.
	ObjectPath func(savorypin.Key) string
	// ReadWatch reads the response body of a watch and calls handle for each event. An
	// object without a name reports progress only.
	ReadWatch func(kind savorypin.Kind, r io.Reader, handle func(savorypin.Object) error) error
	// StaleQuery is the query of reads that may be served from an old copy, which
	// costs the platform less.
	StaleQuery string
	// StatusPath returns the path at which only the status of an object is written.
	StatusPath func(savorypin.Key) string
	// VersionParameter is the query parameter that makes a delete conditional on the
	// version of the object.
	VersionParameter string
	// WatchPath returns the path of a watch that starts after version and that the
	// platform ends after d.
	WatchPath func(kind savorypin.Kind, version int64, d time.Duration) string
}

// kubernetesDialect returns the dialect of the Kubernetes API.
func kubernetesDialect() Dialect {
	return Dialect{
		Decode: func(_ savorypin.Kind, data []byte) (savorypin.Object, error) {
			var doc Document
			if err := json.Unmarshal(data, &doc); err != nil {
				return savorypin.Object{}, fmt.Errorf("%w: decode response: %w", ErrUnavailable, err)
			}
			return FromDocument(doc)
		},
		DecodeList: decodeDocuments,
		Encode:     func(o savorypin.Object) ([]byte, error) { return json.Marshal(ToDocument(o)) },
		ListPath:   func(kind savorypin.Kind, _ string) string { return BasePath + string(kind) },
		ObjectPath: documentPath,
		ReadWatch:  readDocumentWatch,
		StaleQuery: "resourceVersion=0",
		StatusPath: func(key savorypin.Key) string { return documentPath(key) + "/status" },
		WatchPath: func(kind savorypin.Kind, version int64, d time.Duration) string {
			seconds := int((d + time.Second - 1) / time.Second)
			return fmt.Sprintf("%s%s?watch=true&allowWatchBookmarks=true&resourceVersion=%d&timeoutSeconds=%d",
				BasePath, kind, version, seconds)
		},
		VersionParameter: "resourceVersion",
	}
}

func documentPath(key savorypin.Key) string {
	return BasePath + string(key.Kind) + "/" + url.PathEscape(key.Name)
}

func decodeDocuments(_ savorypin.Kind, data []byte) (Page, error) {
	var list List
	if err := json.Unmarshal(data, &list); err != nil {
		return Page{}, fmt.Errorf("%w: decode response: %w", ErrUnavailable, err)
	}
	page := Page{Objects: make([]savorypin.Object, 0, len(list.Items))}
	for _, doc := range list.Items {
		object, err := FromDocument(doc)
		if err != nil {
			return Page{}, err
		}
		page.Objects = append(page.Objects, object)
	}
	var err error
	page.Version, err = parseVersion(list.Metadata.ResourceVersion)
	return page, err
}

// readDocumentWatch reads one JSON event per line until the platform ends the watch.
func readDocumentWatch(kind savorypin.Kind, r io.Reader, handle func(savorypin.Object) error) error {
	dec := json.NewDecoder(r)
	for {
		var event Event
		err := dec.Decode(&event)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if event.Type == EventError {
			return ErrExpired
		}
		object, err := FromDocument(event.Object)
		if err != nil {
			return err
		}
		object.Kind = kind
		object.Deleted = event.Type == EventDeleted
		if err := handle(object); err != nil {
			return err
		}
	}
}
