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

// Ledger is a stand-in of a plain service that counts its runs by key.
type Ledger struct {
	mu       sync.Mutex
	delay    time.Duration
	loseNext int
	runs     map[string]int
	status   int
	total    int
}

// NewLedger returns a ledger without entries.
func NewLedger() *Ledger {
	return &Ledger{runs: map[string]int{}, status: http.StatusOK}
}

// LoseAnswers makes the ledger break the connection of the next n runs after
// they have taken effect.
func (l *Ledger) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseNext = n
}

// Runs returns the number of runs by key.
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

// SetStatus sets the status that runs are answered with.
func (l *Ledger) SetStatus(status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status = status
}

// ServeHTTP runs a call, or serves the switches under /standin/.
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
	entry, lose := l.run(r.Header.Get("Idempotency-Key"))
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"entry":%d,"path":%q,"bytes":%d}`, entry, r.URL.Path, len(body))
}

func (l *Ledger) run(key string) (entry int, lose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	if key != "" {
		l.runs[key]++
	}
	if l.loseNext > 0 {
		l.loseNext--
		return l.total, true
	}
	return l.total, false
}
