package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["prompts"] = playPrompts }

const (
	// firstStep is the time of a request's first step at an engine, beyond that of its prompt.
	firstStep = 47 * time.Millisecond
	// promptToken is the time to read a token of a prompt: 8 tokens a millisecond.
	promptToken = time.Millisecond / 8
	// shortPrompt is the size of the short prompts, in tokens; the long ones have 8,200.
	shortPrompt = 12
	// summaryInterval is the time between two requests with a long prompt, summaryTokens the size of
	// the answer.
	summaryInterval = 2 * time.Second
	summaryTokens   = 60 * tokensPerEvent
	// chatCallers are the clients with short prompts; each makes a request in each chatInterval.
	chatCallers  = 8
	chatInterval = 400 * time.Millisecond
	chatTokens   = 4 * tokensPerEvent
	// routeDelay is the time after which the route is added, applyDelay the time from then until the
	// first request on it, and promptsDuration the time of the whole case. Without trouble the route is
	// there from the start, and chats begin after chatDelay.
	routeDelay      = 8 * time.Second
	applyDelay      = 4 * time.Second
	chatDelay       = 5 * time.Second
	promptsDuration = 80 * time.Second
	// leastRequests is the number of requests on the route from which the rule holds.
	leastRequests = 20
)

// playPrompts adds a route for long prompts to a deployment that has served short prompts so far.
func playPrompts(b *bench) (verdict, error) {
	c := configuration{version: 1, keys: []string{keyKept}, summaries: !b.trouble}
	d, err := b.startDeployment(c, func(req *http.Request) work {
		return work{stream: true, eventInterval: eventInterval, firstDelay: firstStep + time.Duration(promptTokens(req))*promptToken}
	})
	if err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	summaries, chats := &kindResults{}, &kindResults{}
	begin := time.Now()
	chat := func() {
		for range chatCallers {
			group.Go(func() { callChats(d.gateway.front, chats, stop) })
		}
	}
	summarise := func() { group.Go(func() { b.callSummaries(d.gateway.front, summaries, stop) }) }
	if b.trouble {
		chat()
		time.Sleep(routeDelay)
		c.version, c.summaries = 4, true
		if err := d.store.put("config", "main", c.spec()); err != nil {
			return verdict{}, err
		}
		b.logf("configuration %d, with the route of the summaries, is acknowledged", c.version)
		time.Sleep(applyDelay)
		summarise()
	} else {
		summarise()
		time.Sleep(chatDelay)
		chat()
	}
	time.Sleep(time.Until(begin.Add(promptsDuration)))
	close(stop)
	group.Wait()
	b.logf("summaries: %v", summaries.byStatus)
	b.logf("chats: %v", chats.byStatus)
	broken := summaries.sent >= leastRequests && summaries.share() < chats.share()/4
	return verdict{broken: broken, text: fmt.Sprintf(
		"summaries, on the route that was added: %d of %d served (%.3f); chats, on the first one: %d of %d (%.3f)", summaries.served,
		summaries.sent, summaries.share(), chats.served, chats.sent, chats.share())}, nil
}

// kindResults are the results of the requests of a kind.
type kindResults struct {
	kindCount
	byStatus map[string]int
	mu       sync.Mutex
}

func (k *kindResults) add(r result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.byStatus == nil {
		k.byStatus = map[string]int{}
	}
	text := fmt.Sprint(r.status)
	if !r.complete {
		text += " broken off"
	}
	k.byStatus[text]++
	k.sent++
	if r.complete && r.status == http.StatusOK {
		k.served++
	}
}

// callSummaries sends a request with a long prompt in each interval. What fails without an answer is tried
// once more.
func (b *bench) callSummaries(address string, results *kindResults, stop <-chan struct{}) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		group.Go(func() {
			c := newCaller(address)
			defer c.close()
			summary := func(last int) result {
				k := newCall(pathSummary, keyKept, 25*time.Second)
				k.outputTokens, k.lastEventID = summaryTokens, last
				r := c.do(k)
				b.logf("summary %s after event %d: %s", k.id, last, r.text())
				return r
			}
			r := summary(0)
			if !r.complete {
				r = summary(r.lastEventID)
			}
			results.add(r)
		})
	}
}

// callChats sends requests with short prompts, one at a time.
func callChats(address string, results *kindResults, stop <-chan struct{}) {
	c := newCaller(address)
	defer c.close()
	time.Sleep(time.Duration(rand.Float64() * float64(chatInterval)))
	ticker := time.NewTicker(chatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		k := newCall(pathStream, keyKept, 25*time.Second)
		k.outputTokens, k.ownTokens = chatTokens, shortPrompt/2
		results.add(c.do(k))
	}
}
