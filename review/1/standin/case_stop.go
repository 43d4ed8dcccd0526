package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

const (
	// eventInterval is the time between two events: a step of an engine takes 5 ms a token.
	eventInterval = 30 * time.Millisecond
	// shortTokens and longTokens are the sizes of the answers.
	shortTokens = 15 * tokensPerEvent
	longTokens  = 170 * tokensPerEvent
	// warmUpStreams is the number of short streams before the signal.
	warmUpStreams = 60
	// keptCallers is the number of clients with a kept connection.
	keptCallers = 4
	// lateDelay is the time between the signal and the late requests.
	lateDelay = 3400 * time.Millisecond
	// excusedDelay is the time after the signal up to which requests may be excused.
	excusedDelay = 3 * time.Second
	// jobDuration is the work of a job.
	jobDuration = 5 * time.Second
)

func decideStop(req *http.Request) work {
	if req.URL.Path == pathJob {
		return work{duration: jobDuration}
	}
	return work{stream: true, eventInterval: eventInterval}
}

// playStop stops the gateway as planned while clients still have idle connections to it, and lets them
// send requests on these.
func playStop(b *bench) (verdict, error) {
	d, err := b.startDeployment(configuration{version: 1, keys: []string{keyKept}}, decideStop)
	if err != nil {
		return verdict{}, err
	}
	if err := b.warmUp(d.gateway.front); err != nil {
		return verdict{}, err
	}
	callers, err := keepConnections(d.gateway.front)
	if err != nil {
		return verdict{}, err
	}
	signalled := time.Now()
	if b.trouble {
		if err := d.gateway.signal(syscall.SIGTERM); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(lateDelay)
	late := make([]*pending, 0, len(callers))
	for i, c := range callers {
		k := newCall(pathStream, keyKept, 25*time.Second)
		k.outputTokens = longTokens
		if i%2 == 1 {
			k = newCall(pathJob, keyKept, 10*time.Second)
		}
		late = append(late, begin(c, k))
	}
	return b.judgeLost(d, late, signalled, excusedDelay), nil
}

// warmUp makes short streams, a few at a time.
func (b *bench) warmUp(address string) error {
	const lanes = 6
	failed := make(chan error, lanes)
	for range lanes {
		go func() {
			c := newCaller(address)
			defer c.close()
			for range warmUpStreams / lanes {
				k := newCall(pathStream, keyKept, 25*time.Second)
				k.outputTokens = shortTokens
				if r := c.do(k); !r.complete || r.status != http.StatusOK {
					failed <- fmt.Errorf("a short stream failed: %s", r.text())
					return
				}
			}
			failed <- nil
		}()
	}
	for range lanes {
		if err := <-failed; err != nil {
			return err
		}
	}
	b.logf("%d short streams are complete", warmUpStreams)
	return nil
}

// keepConnections returns clients that have made one request each and keep their connections.
func keepConnections(address string) ([]*caller, error) {
	callers := make([]*caller, 0, keptCallers)
	for range keptCallers {
		c := newCaller(address)
		k := newCall(pathStream, keyKept, 25*time.Second)
		k.outputTokens = tokensPerEvent
		if r := c.do(k); !r.complete || r.status != http.StatusOK || !c.connected() {
			return nil, fmt.Errorf("a client has no kept connection: %s", r.text())
		}
		callers = append(callers, c)
	}
	return callers, nil
}

// pending is a call that has begun.
type pending struct {
	call   call
	result chan result
}

// begin makes a call on a client's kept connection. The call fails if there is none.
func begin(c *caller, k call) *pending {
	p := &pending{call: k, result: make(chan result, 1)}
	go func() {
		if !c.connected() {
			p.result <- result{err: errNoConnection, sentAt: time.Now(), endedAt: time.Now()}
			return
		}
		p.result <- c.do(k)
	}()
	return p
}

// judgeLost counts the requests that a gateway has passed on and whose connection ended without a
// complete answer, though the replica had not broken off and the deadline was not reached. Those that
// were sent up to excused after the signal count only if they ended before the last sixth of the grace
// period.
func (b *bench) judgeLost(d *deployment, calls []*pending, signalled time.Time, excused time.Duration) verdict {
	lost, ran, complete := 0, 0, 0
	for _, p := range calls {
		r := <-p.result
		e, passedOn := d.execution(p.call.id)
		b.logf("%s %s: sent %.3f s after the signal, ended %.3f s after it, ran: %t, the replica was cut off: %t; %s", p.call.path,
			p.call.id, r.sentAt.Sub(signalled).Seconds(), r.endedAt.Sub(signalled).Seconds(), passedOn, e.brokenOff, r.text())
		if passedOn {
			ran++
		}
		if r.complete {
			complete++
			continue
		}
		if !passedOn || r.endedAt.Sub(r.sentAt) >= p.call.deadline {
			continue
		}
		if r.sentAt.Sub(signalled) <= excused && r.endedAt.Sub(signalled) >= stopGrace*5/6 {
			continue
		}
		lost++
	}
	return verdict{broken: lost > 0, text: fmt.Sprintf("%d requests, %d passed on, %d answered completely, %d lost", len(calls), ran, complete, lost)}
}
