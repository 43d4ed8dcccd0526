package savorypinevent_test

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinevent"
)

// logBuffer is an output that keeps what was written to it.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (buf *logBuffer) Write(b []byte) (int, error) {
	buf.mu.Lock()
	defer buf.mu.Unlock()
	return buf.text.Write(b)
}

func (buf *logBuffer) lines() []string {
	buf.mu.Lock()
	defer buf.mu.Unlock()
	return strings.Split(strings.TrimSpace(buf.text.String()), "\n")
}

func newLog(buf *logBuffer, now func() time.Time) *savorypinevent.Log {
	logger := log.NewWithOptions(buf, log.Options{Formatter: log.LogfmtFormatter})
	return savorypinevent.New(savorypinevent.Config{Logger: logger, Now: now})
}

var _ = Describe("The log", func() {
	It("writes an event with the fields of its type", func() {
		buf := &logBuffer{}
		l := newLog(buf, nil)
		l.Emit(savorypinevent.RequestRefused{ID: "r1", Status: 503, Reason: "no endpoint", RetryAfter: 150 * time.Millisecond, Endpoints: 3, Suspects: 2})
		l.Emit(savorypinevent.Dependency{Err: errors.New("reset"), Lost: true, Name: "store"})
		Expect(buf.lines()).To(Equal([]string{
			`level=warn msg="request refused" id=r1 status=503 reason="no endpoint" path= retryAfter=150 configuration=0 confirmationAge=0 endpoints=3 suspects=2`,
			`level=warn msg=dependency name=store state=lost err=reset`,
		}))
	})

	It("limits the rate of each kind and logs how many lines it left out", func() {
		buf := &logBuffer{}
		now := time.Unix(1000, 0)
		l := newLog(buf, func() time.Time { return now })
		for range 10_000 {
			l.Emit(savorypinevent.RequestEnded{EventKind: savorypinevent.KindRequestAnswered})
			now = now.Add(time.Millisecond)
		}
		l.Emit(savorypinevent.RequestRefused{ID: "r1"})
		l.LogLeftOut()
		// At most the burst and the lines of ten seconds are written. Then come the refusal,
		// whose kind has a limit of its own, and the number of left-out lines.
		lines := buf.lines()
		successes := len(lines) - 2
		Expect(successes).To(BeNumerically("<=", 40+100))
		Expect(successes).To(BeNumerically(">=", 40))
		Expect(lines[successes]).To(ContainSubstring("id=r1"))
		Expect(lines[successes+1]).To(Equal(fmt.Sprintf(`level=warn msg="lines left out" of="request answered" count=%d`, 10_000-successes)))
	})
})

// blockedWriter is an output whose writes block until it is released.
type blockedWriter struct {
	release chan struct{}
	logBuffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.logBuffer.Write(p)
}

var _ = Describe("The writer", func() {
	It("drops lines instead of waiting while the output is blocked", func() {
		out := &blockedWriter{release: make(chan struct{})}
		w := savorypinevent.NewWriter(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		// If a write waited for the output, the spec would never end.
		for range 5000 {
			n, err := w.Write(line)
			Expect(err).NotTo(HaveOccurred())
			Expect(n).To(Equal(len(line)))
		}
		// At most the queue and one batch of lines are kept.
		Expect(w.Lost()).To(BeNumerically(">=", 5000-1024-17))
		lost := w.Lost()
		close(out.release)
		Eventually(func() string {
			// The lines are read only once, since the writer adds more meanwhile.
			lines := out.lines()
			return lines[len(lines)-1]
		}, "5s").Should(ContainSubstring("lines left out"))
		w.Close()
		Expect(int64(len(out.lines()))).To(Equal(5000 - lost + 1))
	})

	It("writes all queued lines when it is closed", func() {
		out := &logBuffer{}
		w := savorypinevent.NewWriter(out)
		for range 100 {
			_, err := w.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		w.Close()
		Expect(out.lines()).To(HaveLen(100))
		Expect(w.Lost()).To(BeZero())
	})
})
