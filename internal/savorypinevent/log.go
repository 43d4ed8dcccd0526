package savorypinevent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"savorypin/internal/savorypinloop"
	"savorypin/internal/savorypinpanic"
)

// Rate limits for each kind of event, in lines per second, their bursts, and the
// interval of reports.
const (
	// successRate and successBurst limit the lines of each kind in successKinds.
	successRate  = 10
	successBurst = 40
	// defaultRate and defaultBurst limit the lines of all other kinds. They are higher,
	// so that fewer lines about failures than about successes are left out.
	defaultRate  = 40
	defaultBurst = 200
	// leftOutReportInterval is the interval at which the numbers of left-out lines are
	// logged.
	leftOutReportInterval = 5 * time.Second
)

// successKinds are the kinds of the events that a successful request emits.
var successKinds = map[Kind]bool{KindRequestAnswered: true, KindStreamCompleted: true, KindStreamSent: true}

// Config configures a Log.
type Config struct {
	// Logger formats the lines.
	Logger *log.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Log writes events to a logger at a limited rate. It is safe for concurrent use.
type Log struct {
	cfg Config

	mu       sync.Mutex
	leftOut  map[Kind]int64
	limiters map[Kind]*rate.Limiter
}

// New returns a log.
func New(cfg Config) *Log {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Log{cfg: cfg, leftOut: map[Kind]int64{}, limiters: map[Kind]*rate.Limiter{}}
}

// Emit writes an event. If its kind exceeds the rate limit, the event is only counted.
func (l *Log) Emit(e Event) {
	if l.cfg.Logger.GetLevel() > e.Level() {
		return
	}
	if !l.allow(e.Kind()) {
		return
	}
	l.write(e)
}

// Debug writes a line at debug level, without a rate limit. It is for lines that matter
// only while a fault is being looked for.
func (l *Log) Debug(message string, fields ...any) {
	l.cfg.Logger.Debug(message, fields...)
}

func (l *Log) write(e Event) {
	l.cfg.Logger.Log(e.Level(), string(e.Kind()), e.Fields()...)
}

func (l *Log) allow(kind Kind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.limiters[kind]
	if limiter == nil {
		limiter = rate.NewLimiter(defaultRate, defaultBurst)
		if successKinds[kind] {
			limiter = rate.NewLimiter(successRate, successBurst)
		}
		l.limiters[kind] = limiter
	}
	if limiter.AllowN(l.cfg.Now(), 1) {
		return true
	}
	l.leftOut[kind]++
	return false
}

// LogLeftOut writes how many lines of each kind the rate limit has left out since the
// last call.
func (l *Log) LogLeftOut() {
	l.mu.Lock()
	leftOut := l.leftOut
	l.leftOut = map[Kind]int64{}
	l.mu.Unlock()
	for kind, count := range leftOut {
		l.write(linesLeftOut{count: count, of: kind})
	}
}

// Run logs the numbers of left-out lines every leftOutReportInterval until ctx ends.
func (l *Log) Run(ctx context.Context) error {
	savorypinloop.Every(ctx, leftOutReportInterval, l.LogLeftOut)
	return ctx.Err()
}

// RunRecovered runs f. If f panics, the panic is recovered and logged with what, which
// describes the task.
func (l *Log) RunRecovered(what string, f func()) {
	// The only possible error is a panic, which CallRecovered logs.
	_ = l.CallRecovered(what, func() error {
		f()
		return nil
	})
}

// CallRecovered runs f and returns its error. If f panics, the panic is recovered, logged with
// what, and returned as an error.
func (l *Log) CallRecovered(what string, f func() error) error {
	err := savorypinpanic.Recover(f)
	var panicked *savorypinpanic.PanicError
	if errors.As(err, &panicked) {
		l.Emit(Panicked{Err: panicked, Stack: string(panicked.Stack), What: what})
	}
	return err
}
