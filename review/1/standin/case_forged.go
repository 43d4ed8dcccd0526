package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["forged"] = playForged }

const (
	// forgedDelay is the time before the entries of another writer appear, and forgedDuration the time
	// that they stay.
	forgedDelay    = 4 * time.Second
	forgedDuration = 40 * time.Second
	// forgedService is a service that no configuration names.
	forgedService = "counter-ledger-test"
)

// playForged writes entries of a service that isn't named anywhere, each with the address of a replica.
func playForged(b *bench) (verdict, error) {
	d, err := b.startDeployment(configuration{version: 1, keys: []string{keyKept}}, func(*http.Request) work {
		return work{duration: saleDuration}
	})
	if err != nil {
		return verdict{}, err
	}
	for _, r := range d.replicasOf(serviceEngine) {
		r.work = func(*http.Request) work { return work{stream: true, eventInterval: eventInterval} }
	}
	stop := make(chan struct{})
	counts := b.callBothKinds(d.gateway.front, stop)
	time.Sleep(forgedDelay)
	for i, r := range d.replicasOf(serviceLedger) {
		if !b.trouble {
			break
		}
		entry := r.entry(forgedService, "a")
		entry["born"] = time.Now().UnixMilli()
		name := fmt.Sprintf("i-other-%d", i)
		if err := d.store.put("servers", name, entry); err != nil {
			return verdict{}, err
		}
		b.logf("another writer puts the entry %s: service %s at %s, the address of %s", name, forgedService, r.address, r.id)
	}
	time.Sleep(forgedDuration)
	close(stop)
	sales, drafts := counts()
	return judgeStarved(sales, drafts), nil
}
