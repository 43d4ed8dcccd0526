package savorypinagent

import (
	"context"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinendpoint"
	"savorypin/internal/savorypinmember"
)

// callRetainFor is how long an agent remembers a key.
const callRetainFor = 10 * time.Minute

// callKey names a call of an endpoint.
type callKey struct {
	endpoint string
	key      string
}

// callRecord is what the agent knows of a key.
type callRecord struct {
	answer  *savorypinmember.PlainAnswer
	at      time.Time
	barred  bool
	passed  bool
	settled bool
}

func (a *Agent) handleCall(
	ctx context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.PlainCall,
) (savorypinmember.PlainAnswer, error) {
	var none savorypinmember.PlainAnswer
	e, ok := a.endpoints[req.Endpoint]
	if !ok || e.plain == nil {
		return none, savorypin.Errorf(savorypin.KindNotRun, req.Endpoint, "no such plain service beside this agent")
	}
	if a.daemon.Draining() {
		return none, savorypin.Errorf(savorypin.KindNotRun, a.daemon.Settings().Name, "agent is stopping")
	}
	record, err := a.admitCall(callKey{endpoint: req.Endpoint, key: req.Key})
	if err != nil {
		return none, err
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	answer, sent, err := e.plain.Do(ctx, savorypinendpoint.Call{
		Body:        req.Body,
		ContentType: req.ContentType,
		Key:         req.Key,
		Path:        req.Path,
	})
	if err != nil {
		a.settleCall(record, nil, sent)
		return none, translatePlain(req.Endpoint, sent, err)
	}
	result := savorypinmember.PlainAnswer{
		Body:        answer.Body,
		ContentType: answer.ContentType,
		Status:      answer.Status,
	}
	a.settleCall(record, &result, true)
	return result, nil
}

// admitCall notes that a key is about to be passed on. A call without a key
// may be repeated and needs no note.
func (a *Agent) admitCall(key callKey) (*callRecord, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if key.key == "" {
		return &callRecord{}, nil
	}
	if record, ok := a.calls[key]; ok {
		if record.barred {
			return nil, savorypin.Errorf(savorypin.KindNotRun, key.key, "key was barred before it was passed on")
		}
		return nil, savorypin.Errorf(savorypin.KindUnknown, key.key, "key was passed on before")
	}
	record := &callRecord{at: time.Now(), passed: true}
	a.calls[key] = record
	return record, nil
}

func (a *Agent) settleCall(record *callRecord, answer *savorypinmember.PlainAnswer, sent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	record.answer = answer
	record.at = time.Now()
	record.barred = !sent
	record.passed = sent
	record.settled = true
}

func (a *Agent) handleBar(
	_ context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.Bar,
) (savorypinmember.Barred, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := callKey{endpoint: req.Endpoint, key: req.Key}
	record, ok := a.calls[key]
	if !ok {
		record = &callRecord{at: time.Now(), barred: true, settled: true}
		a.calls[key] = record
	}
	return savorypinmember.Barred{Answer: record.answer, Passed: record.passed}, nil
}

// translatePlain turns an error of a plain service into one of the core.
func translatePlain(endpoint string, sent bool, err error) error {
	if sent {
		return savorypin.Errorf(savorypin.KindUnknown, endpoint, "%w", err)
	}
	return savorypin.Errorf(savorypin.KindNotRun, endpoint, "%w", err)
}
