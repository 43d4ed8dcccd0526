package savorypinstandin

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Ledger is a stand-in for a plain service. It counts the calls that it has run by
// idempotency key.
type Ledger struct {
	mu            sync.Mutex
	delay         time.Duration
	answersToLose int
	runs          map[string]int
	status        int
	total         int
}

// NewLedger returns a ledger that has run nothing yet.
func NewLedger() *Ledger {
	return &Ledger{runs: map[string]int{}, status: http.StatusOK}
}

// LoseAnswers makes the ledger close the connection instead of answering the next
// n calls, after they have run.
func (l *Ledger) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answersToLose = n
}

// Runs returns the number of runs by idempotency key. It omits calls without a key.
func (l *Ledger) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}

// SetDelay sets how long a run takes.
func (l *Ledger) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// SetStatus sets the HTTP status of the answers.
func (l *Ledger) SetStatus(status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status = status
}

// ServeHTTP runs a call, or returns the number of runs by key under /standin/.
func (l *Ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/standin/") {
		writeJSON(w, http.StatusOK, l.Runs())
		return
	}
	const maxBody = 1 << 20
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	delay, status := l.delay, l.status
	l.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	number, lose := l.run(r.Header.Get("Idempotency-Key"))
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"entry":%d,"path":%q,"bytes":%d}`, number, r.URL.Path, len(body))
}

// run counts a run and returns its number, starting from 1, and whether to close
// the connection instead of answering.
func (l *Ledger) run(key string) (number int, lose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	if key != "" {
		l.runs[key]++
	}
	if l.answersToLose > 0 {
		l.answersToLose--
		return l.total, true
	}
	return l.total, false
}
