package main

import (
	"net/http"
	"slices"
	"syscall"
	"time"
)

func init() { cases["returned"] = playReturned }

const (
	// copyDelay is the time between the copy from which the store comes back and the change, and
	// awayDelay and awayDuration the time from the change until the store is away, and for how long.
	copyDelay    = 500 * time.Millisecond
	awayDelay    = 5500 * time.Millisecond
	awayDuration = time.Second
	// rewriteDelay is the time from the store's return until the operator has written its
	// configuration again.
	rewriteDelay = 1500 * time.Millisecond
)

// playReturned lets the store come back from a copy that lacks the change that took a key away, and
// kills one of two gateways meanwhile.
func playReturned(b *bench) (verdict, error) {
	c := configuration{version: 1, keys: append([]string{keyKept}, revokedKeys...)}
	d, err := b.startDeployment(c, func(*http.Request) work { return work{duration: saleDuration} })
	if err != nil {
		return verdict{}, err
	}
	if _, err := b.startGateway(d.store.address, d.gateway.host); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	sales := callWithKey(d.gateway.front, revokedKeys[0], stop)
	time.Sleep(cutPause)
	old := d.store.copy()
	time.Sleep(copyDelay)
	c.version, c.keys = 4, slices.DeleteFunc(slices.Clone(c.keys), func(k string) bool { return k == revokedKeys[0] })
	if err := d.store.put("config", "main", c.spec()); err != nil {
		return verdict{}, err
	}
	acknowledged := time.Now()
	b.logf("configuration %d, without the key, is acknowledged", c.version)
	time.Sleep(awayDelay)
	if b.trouble {
		d.store.setCut(true)
		b.logf("the store is away")
		if err := d.gateway.signal(syscall.SIGKILL); err != nil {
			return verdict{}, err
		}
		<-d.gateway.exited
		time.Sleep(awayDuration)
		d.store.comeBack(old)
		d.store.setCut(false)
		b.logf("the store is back from a copy")
		if err := d.gateway.start(); err != nil {
			return verdict{}, err
		}
		time.Sleep(rewriteDelay)
		if err := d.store.put("config", "main", c.spec()); err != nil {
			return verdict{}, err
		}
		b.logf("the operator has written the configuration again")
	}
	time.Sleep(cutPause)
	close(stop)
	return b.judgeRevoked(d, sales(), acknowledged), nil
}
