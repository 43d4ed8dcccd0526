package savorypingateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypingossip"
	"savorypin/internal/savorypinquarantine"
)

// quarantineKey is the key of the object that holds the subjects in quarantine. Gateways
// read it when they start, as all of them may have stopped at once.
var quarantineKey = savorypin.Key{Kind: "savorypin-quarantine", Name: "parts"}

// quarantineWriteInterval is the interval at which changes of the quarantine are written.
const quarantineWriteInterval = time.Second

// quarantineSpec is the spec of the object with the key quarantineKey.
type quarantineSpec struct {
	Subjects []savorypinquarantine.Saved `json:"parts"`
}

func (g *Gateway) newQuarantine() *savorypinquarantine.Registry {
	return savorypinquarantine.New(savorypinquarantine.Config{
		Now:       time.Now,
		OnVerdict: g.handleVerdict,
		Rank:      g.probeRank,
	})
}

// handleVerdict logs that a subject was put into quarantine or released, and tells the other
// gateways. It abandons the attempts that may be about to crash endpoints.
func (g *Gateway) handleVerdict(c savorypinquarantine.Change) {
	g.log.Emit(savorypinevent.QuarantineChanged{
		Crashes: c.Crashes, Subject: c.Subject, Remaining: c.Remaining, Released: c.Released, Round: int(c.Round),
	})
	g.counters.recordVerdict(c.Subject.IsRequest(), c.Released)
	if !c.Released {
		g.streams.abandon(c.Subject)
	}
	g.gossip.TriggerRound()
}

// probeRank returns the place of this gateway in the order in which the live gateways may probe a
// subject. The order differs from subject to subject.
func (g *Gateway) probeRank(subject savorypinfleet.Subject) int {
	hash := func(address string) uint64 { return xxhash.Sum64String(address + subject.String()) }
	own := hash(g.peerAddress())
	rank := 0
	for _, p := range g.peers.Live() {
		if hash(p.Address) < own {
			rank++
		}
	}
	return rank
}

// quarantineReport returns what this gateway reports to the others; nil for nothing.
func (g *Gateway) quarantineReport() *savorypinquarantine.Report {
	r := g.quarantine.Report()
	if r.Empty() {
		return nil
	}
	return &r
}

// handleQuarantineReport processes another gateway's report.
func (g *Gateway) handleQuarantineReport(update savorypingossip.ReceivedUpdate) {
	r := update.State.Quarantine
	if r == nil {
		return
	}
	g.quarantine.Apply(update.Origin, *r, update.Age)
	if len(r.Crashes) == 0 || g.abandoned.empty() {
		return
	}
	byHash := g.endpointsByHash()
	for _, c := range r.Crashes {
		if e := byHash[c.Endpoint]; e != nil {
			g.recordAbandoned(e)
		}
	}
}

// persistQuarantine loads the subjects that were last written to the store, as soon as it responds,
// and then writes changes while this gateway is the first of the readers.
func (g *Gateway) persistQuarantine(ctx context.Context) error {
	loaded := false
	var written []savorypinquarantine.Saved
	var era int64
	for {
		if !loaded && !g.store.breaker.Failing() {
			g.log.RunRecovered("load quarantine", func() { loaded = g.loadQuarantine(ctx) })
		}
		if err := wait(ctx, quarantineWriteInterval); err != nil {
			return err
		}
		if !loaded {
			continue
		}
		subjects := g.quarantine.Save()
		// A store that was restored from an older copy may have lost the last write.
		current := g.store.client.Era()
		unchanged := slices.Equal(subjects, written) && (len(subjects) == 0 || current == era)
		if unchanged || !g.isFirstReader() || g.store.breaker.Failing() {
			continue
		}
		g.log.RunRecovered("write quarantine", func() {
			if g.writeShared(ctx, quarantineKey, quarantineSpec{Subjects: subjects}) {
				written, era = subjects, current
			}
		})
	}
}

// loadQuarantine adds the subjects that were last written to the store. It reports whether the store
// responded.
func (g *Gateway) loadQuarantine(ctx context.Context) bool {
	spec, found, responded := readShared[quarantineSpec](ctx, g, quarantineKey)
	if found {
		g.quarantine.Load(spec.Subjects)
	}
	return responded
}

// serveRelease ends the quarantine of a subject by order of an operator.
func (g *Gateway) serveRelease(w http.ResponseWriter, r *http.Request) {
	subject, err := strconv.ParseUint(r.PathValue("subject"), 16, 64)
	if err != nil {
		http.Error(w, "not a hexadecimal hash", http.StatusBadRequest)
		return
	}
	if !g.quarantine.Release(savorypinfleet.Subject(subject)) {
		http.Error(w, "neither a part nor a request with this hash is in quarantine", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
