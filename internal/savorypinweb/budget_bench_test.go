package savorypinweb_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"savorypin/internal/savorypinweb"
)

// BenchmarkServe measures requests on one connection, with a budget and without one.
func BenchmarkServe(b *testing.B) {
	for _, tc := range []struct {
		name  string
		serve func(*http.Server) (string, error)
	}{
		{"plain", func(server *http.Server) (string, error) {
			l, err := savorypinweb.Listen(context.Background(), "127.0.0.1:0")
			if err != nil {
				return "", err
			}
			go func() { _ = server.Serve(l) }()
			return l.Addr().String(), nil
		}},
		{"budget", func(server *http.Server) (string, error) {
			l, err := savorypinweb.Listen(context.Background(), "127.0.0.1:0")
			if err != nil {
				return "", err
			}
			budget := savorypinweb.NewBudget(savorypinweb.BudgetConfig{Bytes: 1 << 20, BufferBytes: 1 << 20, Connections: 100})
			go func() { _ = budget.Serve(server, l) }()
			return l.Addr().String(), nil
		}},
	} {
		b.Run(tc.name, func(b *testing.B) {
			server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "ok")
			})}
			defer server.Close()
			address, err := tc.serve(server)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				resp, err := http.Get("http://" + address + "/")
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		})
	}
}
