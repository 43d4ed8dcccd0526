// Package savorypinstandin holds small stand-ins of the systems around
// savorypin: the platform's object API, a model engine and a plain ledger.
// They serve tests and trials by hand and keep everything in memory.
package savorypinstandin

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"savorypin/internal/savorypinplatform"
)

// maxEvents is how many past events a watch can start from.
const maxEvents = 10000

// Platform is a stand-in of the platform's object API and list of hosts.
type Platform struct {
	mu       sync.Mutex
	calls    map[string]int
	changed  chan struct{}
	events   []platformEvent
	first    int64
	hosts    []savorypinplatform.Host
	loseNext int
	objects  map[string]savorypinplatform.Document
	out      bool
	silent   int
	version  int64
	watches  int
}

type platformEvent struct {
	event   savorypinplatform.Event
	version int64
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		calls:   map[string]int{},
		changed: make(chan struct{}),
		objects: map[string]savorypinplatform.Document{},
	}
}

// Calls returns the number of calls by method and kind.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.calls)
}

// LoseAnswers makes the platform drop the answers of the next n writes after
// they have taken effect.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseNext = n
}

// SetHosts sets the list of hosts.
func (p *Platform) SetHosts(hosts []savorypinplatform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = slices.Clone(hosts)
}

// SetOutage starts or ends an outage. Open watches end when it starts.
func (p *Platform) SetOutage(out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out = out
	p.wake()
}

// Delete deletes an object, as another program would, also in an outage.
func (p *Platform) Delete(doc savorypinplatform.Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	doc.Metadata.ResourceVersion = strconv.FormatInt(p.version, 10)
	delete(p.objects, doc.Kind+"/"+doc.Metadata.Name)
	p.record(savorypinplatform.Event{Object: doc, Type: savorypinplatform.EventDeleted})
}

// Expire forgets all past events, so that a watch has to begin with a list.
func (p *Platform) Expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = nil
	p.first = p.version
}

// Silence makes all open watches silent for good. New ones work.
func (p *Platform) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = p.watches
}

// ServeHTTP serves the object API, the list of hosts and the switches of the
// stand-in under /standin/.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/standin/") {
		p.serveSwitch(w, r)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, savorypinplatform.BasePath), "/")
	watch := r.URL.Query().Get("watch") == "true"
	if p.count(r.Method, kind, watch) {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	switch {
	case r.URL.Path == savorypinplatform.HostsPath:
		p.serveHosts(w)
	case watch:
		p.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		p.serveList(w, kind)
	case r.Method == http.MethodGet:
		p.serveGet(w, kind, name)
	default:
		p.serveWrite(w, r, kind, name)
	}
}

// count counts a call and reports whether the platform is out.
func (p *Platform) count(method, kind string, watch bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if watch {
		method = "WATCH"
	}
	p.calls[method+" "+kind]++
	return p.out
}

func (p *Platform) serveSwitch(w http.ResponseWriter, r *http.Request) {
	switch strings.TrimPrefix(r.URL.Path, "/standin/") {
	case "calls":
		writeJSON(w, http.StatusOK, p.Calls())
	case "lose":
		n, _ := strconv.Atoi(r.URL.Query().Get("n"))
		p.LoseAnswers(n)
	case "outage":
		p.SetOutage(r.URL.Query().Get("on") == "true")
	default:
		http.NotFound(w, r)
	}
}

func (p *Platform) serveHosts(w http.ResponseWriter) {
	p.mu.Lock()
	hosts := slices.Clone(p.hosts)
	p.mu.Unlock()
	if hosts == nil {
		hosts = []savorypinplatform.Host{}
	}
	writeJSON(w, http.StatusOK, hosts)
}

func (p *Platform) serveList(w http.ResponseWriter, kind string) {
	p.mu.Lock()
	list := savorypinplatform.List{
		Items:    []savorypinplatform.Document{},
		Metadata: savorypinplatform.Metadata{ResourceVersion: strconv.FormatInt(p.version, 10)},
	}
	for _, key := range slices.Sorted(maps.Keys(p.objects)) {
		if strings.HasPrefix(key, kind+"/") {
			list.Items = append(list.Items, p.objects[key])
		}
	}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

func (p *Platform) serveGet(w http.ResponseWriter, kind, name string) {
	p.mu.Lock()
	doc, ok := p.objects[kind+"/"+name]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, doc)
}

func (p *Platform) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var doc savorypinplatform.Document
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&doc); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = doc.Metadata.Name
	}
	p.mu.Lock()
	doc, status := p.write(r, kind, name, doc)
	lose := status < http.StatusBadRequest && p.loseNext > 0
	if lose {
		p.loseNext--
	}
	p.mu.Unlock()
	if lose {
		// The connection breaks after the write has taken effect.
		panic(http.ErrAbortHandler)
	}
	if status >= http.StatusBadRequest {
		http.Error(w, http.StatusText(status), status)
		return
	}
	writeJSON(w, status, doc)
}

// write carries out a write. The caller holds p.mu.
func (p *Platform) write(
	r *http.Request,
	kind, name string,
	doc savorypinplatform.Document,
) (savorypinplatform.Document, int) {
	key := kind + "/" + name
	old, exists := p.objects[key]
	want := doc.Metadata.ResourceVersion
	switch r.Method {
	case http.MethodPost:
		if exists {
			return doc, http.StatusConflict
		}
	case http.MethodDelete:
		want = r.URL.Query().Get("resourceVersion")
		doc = old
		fallthrough
	default:
		if !exists {
			return doc, http.StatusNotFound
		}
		if want != "" && want != old.Metadata.ResourceVersion {
			return doc, http.StatusConflict
		}
	}
	p.version++
	doc.Kind = kind
	doc.Metadata.Name = name
	doc.Metadata.ResourceVersion = strconv.FormatInt(p.version, 10)
	event := savorypinplatform.EventModified
	switch {
	case r.Method == http.MethodDelete:
		event = savorypinplatform.EventDeleted
		delete(p.objects, key)
	case !exists:
		event = savorypinplatform.EventAdded
		p.objects[key] = doc
	default:
		p.objects[key] = doc
	}
	p.record(savorypinplatform.Event{Object: doc, Type: event})
	return doc, http.StatusOK
}

// record keeps an event for watches. The caller holds p.mu.
func (p *Platform) record(event savorypinplatform.Event) {
	p.events = append(p.events, platformEvent{event: event, version: p.version})
	if len(p.events) > maxEvents {
		p.first = p.events[0].version
		p.events = slices.Delete(p.events, 0, 1)
	}
	p.wake()
}

// wake lets all watches look again. The caller holds p.mu.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	version, err := strconv.ParseInt(r.URL.Query().Get("resourceVersion"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, end := p.openWatch(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	for ended := false; !ended; {
		events, changed, ok := p.eventsAfter(kind, version)
		if !ok {
			return
		}
		if p.isSilent(id) {
			<-r.Context().Done()
			return
		}
		for _, e := range events {
			if err := enc.Encode(e.event); err != nil {
				return
			}
			version = e.version
		}
		if err := controller.Flush(); err != nil {
			return
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
	p.sendBookmark(enc, kind, version)
}

// openWatch numbers a watch and returns when it ends; never if the request
// states no time.
func (p *Platform) openWatch(r *http.Request) (int, <-chan time.Time) {
	p.mu.Lock()
	p.watches++
	id := p.watches
	p.mu.Unlock()
	seconds, err := strconv.Atoi(r.URL.Query().Get("timeoutSeconds"))
	if err != nil {
		return id, nil
	}
	return id, time.After(time.Duration(seconds) * time.Second)
}

func (p *Platform) isSilent(id int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return id <= p.silent
}

// sendBookmark tells a watch up to which version it has seen all events.
func (p *Platform) sendBookmark(enc *json.Encoder, kind string, version int64) {
	p.mu.Lock()
	newest := p.version
	p.mu.Unlock()
	events, _, ok := p.eventsAfter(kind, version)
	if !ok || len(events) > 0 {
		// The next watch sends what happened since the last look.
		return
	}
	_ = enc.Encode(savorypinplatform.Event{
		Object: savorypinplatform.Document{
			Kind:     kind,
			Metadata: savorypinplatform.Metadata{ResourceVersion: strconv.FormatInt(newest, 10)},
		},
		Type: savorypinplatform.EventBookmark,
	})
}

// eventsAfter returns the events of a kind after version and a channel that is
// closed at the next change. It reports false during an outage.
func (p *Platform) eventsAfter(kind string, version int64) ([]platformEvent, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.out {
		return nil, nil, false
	}
	if version < p.first {
		expired := platformEvent{
			event:   savorypinplatform.Event{Type: savorypinplatform.EventError},
			version: version,
		}
		return []platformEvent{expired}, p.changed, true
	}
	var events []platformEvent
	for _, e := range p.events {
		if e.version > version && e.event.Object.Kind == kind {
			events = append(events, e)
		}
	}
	return events, p.changed, true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has gone; there is no one to tell.
	_ = json.NewEncoder(w).Encode(v)
}
