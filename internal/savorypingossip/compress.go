package savorypingossip

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// compress compresses a message. A transfer compresses well because objects of one kind are
// similar, and it can be large: each gateway that starts receives the list of all endpoints.
func compress(message []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress message: %w", err)
	}
	if _, err := w.Write(message); err != nil {
		return nil, fmt.Errorf("compress message: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress message: %w", err)
	}
	return buf.Bytes(), nil
}

// decompress decompresses a message. It returns errFrameTooLong if the result is longer than a
// frame may be.
func decompress(data []byte) ([]byte, error) {
	message, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxFrameBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress message: %w", err)
	}
	if len(message) > maxFrameBytes {
		return nil, errFrameTooLong
	}
	return message, nil
}
