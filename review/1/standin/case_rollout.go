package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["rollout"] = playRollout }

const (
	// rolloutDuration is the time of the order, and dayDuration that of the whole case.
	rolloutDuration = 6 * time.Second
	dayDuration     = 75 * time.Second
	// orderDelay is the time before the order.
	orderDelay = 2 * time.Second
	// lateWrite is how much later the store does the write that it doesn't answer.
	lateWrite = 1200 * time.Millisecond
	// badShare is the part of its answers that the new version fails once it is bad.
	badShare = 0.4
	// saleCallers and draftCallers are the clients of both kinds; each makes a request in each
	// interval.
	saleCallers   = 8
	draftCallers  = 16
	kindsInterval = 400 * time.Millisecond
	// draftTokens is the size of a draft.
	draftTokens = 5 * tokensPerEvent
)

// kindCount counts the requests of a kind.
type kindCount struct{ sent, served int }

func (k kindCount) share() float64 { return float64(k.served) / float64(max(1, k.sent)) }

// playRollout orders a roll-out of a version that is bad later. The store does the write that completes
// the roll-out late and doesn't answer it.
func playRollout(b *bench) (verdict, error) {
	ordered := time.Now().Add(time.Hour)
	var mu sync.Mutex
	bad := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return time.Since(ordered) > rolloutDuration
	}
	d, err := b.startDeployment(configuration{version: 1, keys: []string{keyKept}}, func(*http.Request) work {
		return work{duration: saleDuration}
	})
	if err != nil {
		return verdict{}, err
	}
	for _, r := range d.replicasOf(serviceEngine) {
		r.work = func(*http.Request) work { return work{stream: true, eventInterval: eventInterval} }
	}
	old := d.replicasOf(serviceLedger)
	b.onCompleted(d, old)
	stop := make(chan struct{})
	counts := b.callBothKinds(d.gateway.front, stop)
	time.Sleep(orderDelay)
	if err := b.startNewVersion(d, bad); err != nil {
		return verdict{}, err
	}
	order := map[string]any{"service": serviceLedger, "target": "v2", "duration_s": rolloutDuration.Seconds()}
	if err := d.store.put("rollouts", serviceLedger, order); err != nil {
		return verdict{}, err
	}
	mu.Lock()
	ordered = time.Now()
	mu.Unlock()
	b.logf("the roll-out of v2 is ordered")
	time.Sleep(dayDuration - orderDelay)
	close(stop)
	sales, drafts := counts()
	return judgeStarved(sales, drafts), nil
}

// judgeStarved compares the share of the sales that were served with that of all requests.
func judgeStarved(sales, drafts kindCount) verdict {
	all := kindCount{sent: sales.sent + drafts.sent, served: sales.served + drafts.served}
	return verdict{broken: sales.share() < all.share()/4, text: fmt.Sprintf(
		"sales: %d of %d served (%.3f); drafts: %d of %d (%.3f); all: %.3f, a quarter of which is %.3f", sales.served, sales.sent, sales.share(),
		drafts.served, drafts.sent, drafts.share(), all.share(), all.share()/4)}
}

// onCompleted makes the platform act when the roll-out is completed: the old replicas stop at once. With
// trouble the first write that completes it is done late and not answered.
func (b *bench) onCompleted(d *deployment, old []*replica) {
	completes := func(status json.RawMessage) bool { return bytes.Contains(status, []byte("completed")) }
	lost := false
	d.store.lateBy = func(kind, name string, status json.RawMessage) time.Duration {
		b.logf("a gateway writes the status of %s/%s: %s", kind, name, status)
		if !b.trouble || lost || !completes(status) {
			return 0
		}
		lost = true
		b.logf("this write isn't answered, and done %v later", lateWrite)
		return lateWrite
	}
	d.store.onStatus = func(kind, name string, status json.RawMessage) {
		b.logf("the status of %s/%s is %s", kind, name, status)
		if !completes(status) {
			return
		}
		for _, r := range old {
			r.stop()
		}
		b.logf("the old replicas stop")
		go func() {
			for _, r := range old {
				d.store.remove("servers", r.id)
			}
		}()
	}
}

// startNewVersion starts replicas of the new version beside the old ones.
func (b *bench) startNewVersion(d *deployment, bad func() bool) error {
	for i := range replicasPerService {
		r, err := b.startReplica(fmt.Sprintf("i-new-%d", i), func(*http.Request) work {
			return work{duration: saleDuration, failed: bad() && rand.Float64() < badShare}
		})
		if err != nil {
			return err
		}
		r.version = "v2"
		if err := d.store.put("servers", r.id, r.entry(serviceLedger, string(rune('a'+i)))); err != nil {
			return err
		}
	}
	return nil
}

// callBothKinds makes sales and drafts until stop is closed. The returned function waits for the counts.
func (b *bench) callBothKinds(address string, stop <-chan struct{}) func() (sales, drafts kindCount) {
	var mu sync.Mutex
	var group sync.WaitGroup
	var sales, drafts kindCount
	statuses := map[int]int{}
	lane := func(k func() call, count *kindCount) {
		c := newCaller(address)
		defer c.close()
		time.Sleep(time.Duration(rand.Float64() * float64(kindsInterval)))
		ticker := time.NewTicker(kindsInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			r := c.do(k())
			mu.Lock()
			count.sent++
			if r.complete && r.status == http.StatusOK {
				count.served++
			}
			if count == &sales {
				statuses[r.status]++
			}
			mu.Unlock()
		}
	}
	for range saleCallers {
		group.Go(func() { lane(func() call { return newCall(pathSale, keyKept, 2*time.Second) }, &sales) })
	}
	for range draftCallers {
		group.Go(func() {
			lane(func() call {
				k := newCall(pathStream, keyKept, 25*time.Second)
				k.outputTokens = draftTokens
				return k
			}, &drafts)
		})
	}
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Second):
			}
			mu.Lock()
			b.logf("so far: sales %d of %d served, drafts %d of %d; answers to sales: %v", sales.served, sales.sent, drafts.served, drafts.sent, statuses)
			mu.Unlock()
		}
	}()
	return func() (kindCount, kindCount) {
		group.Wait()
		return sales, drafts
	}
}
