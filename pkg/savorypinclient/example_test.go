package savorypinclient_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"savorypin/pkg/savorypinclient"
)

// ExampleClient_Stream receives an answer although the first connection is lost after
// the first token.
func ExampleClient_Stream() {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if r.Method == http.MethodPost {
			fmt.Fprint(w, "id: g.a/0\nevent: accepted\ndata: {}\n\n")
			fmt.Fprint(w, "id: g.a/1\nevent: token\ndata: {\"id\":1,\"text\":\"Cribs \"}\n\n")
			return
		}
		fmt.Fprint(w, "id: g.a/2\nevent: token\ndata: {\"id\":2,\"text\":\"pass.\"}\n\n")
		fmt.Fprint(w, "id: g.a/2\nevent: done\ndata: {\"tokens\":2,\"finish_reason\":\"stop\",\"version\":\"v1\"}\n\n")
	}))
	defer entry.Close()
	client := savorypinclient.New(savorypinclient.Config{Entries: []string{entry.URL}})
	result, err := client.Stream(context.Background(), savorypinclient.Request{
		MaxTokens: 100,
		Prompt:    "Do the cribs pass?",
		Service:   "assistant",
	}, func(token savorypinclient.Token) error {
		fmt.Print(token.Text)
		return nil
	})
	fmt.Println()
	fmt.Println(result.Tokens, result.FinishReason, err)
	// Output:
	// Cribs pass.
	// 2 stop <nil>
}

// ExampleClient_Call repeats a sale with the same key.
func ExampleClient_Call() {
	runs := 0
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if runs == 0 {
			runs++
		} else {
			w.Header().Set("Idempotent-Replayed", "true")
		}
		fmt.Fprintf(w, `{"key":%q,"runs":%d}`, r.Header.Get("Idempotency-Key"), runs)
	}))
	defer entry.Close()
	client := savorypinclient.New(savorypinclient.Config{Entries: []string{entry.URL}})
	for range 2 {
		answer, err := client.Call(context.Background(), "ledger", "sale", "sale-17", map[string]int{"crib": 7})
		fmt.Println(string(answer.Body()), answer.Replayed(), err)
	}
	// Output:
	// {"key":"sale-17","runs":1} false <nil>
	// {"key":"sale-17","runs":1} true <nil>
}
