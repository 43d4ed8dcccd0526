package savorypinplatform

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"savorypin/internal/savorypin"
)

// ToDocument returns the wire form of o.
func ToDocument(o savorypin.Object) Document {
	doc := Document{
		Kind: string(o.Kind),
		Metadata: Metadata{
			Annotations: map[string]string{},
			Name:        o.Name,
		},
		Spec:   o.Spec,
		Status: o.Status,
	}
	if o.Version != 0 {
		doc.Metadata.ResourceVersion = strconv.FormatInt(o.Version, 10)
	}
	if !o.At.IsZero() {
		doc.Metadata.Annotations[AnnotationAt] = o.At.UTC().Format(time.RFC3339Nano)
	}
	if o.By != "" {
		doc.Metadata.Annotations[AnnotationBy] = o.By
	}
	if len(o.Earlier) > 0 {
		doc.Metadata.Annotations[AnnotationEarlier] = strings.Join(o.Earlier, ",")
	}
	if o.Order != "" {
		doc.Metadata.Annotations[AnnotationOrder] = o.Order
	}
	return doc
}

// FromDocument returns the object of a wire form.
func FromDocument(doc Document) (savorypin.Object, error) {
	version, err := parseVersion(doc.Metadata.ResourceVersion)
	if err != nil {
		return savorypin.Object{}, fmt.Errorf("%s/%s: %w", doc.Kind, doc.Metadata.Name, err)
	}
	o := savorypin.Object{
		Key:     savorypin.Key{Kind: savorypin.Kind(doc.Kind), Name: doc.Metadata.Name},
		By:      doc.Metadata.Annotations[AnnotationBy],
		Order:   doc.Metadata.Annotations[AnnotationOrder],
		Spec:    doc.Spec,
		Status:  doc.Status,
		Version: version,
	}
	if earlier := doc.Metadata.Annotations[AnnotationEarlier]; earlier != "" {
		o.Earlier = strings.Split(earlier, ",")
	}
	if at, ok := doc.Metadata.Annotations[AnnotationAt]; ok {
		// The object stays readable if another program has written an invalid time.
		o.At, _ = time.Parse(time.RFC3339Nano, at)
	}
	return o, nil
}

func parseVersion(s string) (int64, error) {
	if s == "" {
		return 0, nil
	}
	version, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("resource version %q: %w", s, err)
	}
	return version, nil
}
