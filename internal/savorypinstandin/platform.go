// Package savorypinstandin provides small stand-ins for the systems around
// savorypin: the platform's object API, a model engine and a plain service, the
// ledger. They are used in tests and for manual trials, and keep all state in
// memory.
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

// maxEvents is the number of past events kept for watches. A watch that starts
// before the oldest of them gets an error event.
const maxEvents = 10000

// Platform is a stand-in for the platform's object API and list of hosts.
type Platform struct {
	mu             sync.Mutex
	calls          map[string]int
	changed        chan struct{}
	events         []platformEvent
	expiredVersion int64
	hosts          []savorypinplatform.Host
	answersToLose  int
	objects        map[string]savorypinplatform.Document
	outage         bool
	stalledWatches int
	version        int64
	watches        int
}

type platformEvent struct {
	event   savorypinplatform.Event
	version int64
}

// NewPlatform returns a platform without objects and hosts.
func NewPlatform() *Platform {
	return &Platform{
		calls:   map[string]int{},
		changed: make(chan struct{}),
		objects: map[string]savorypinplatform.Document{},
	}
}

// Calls returns the number of calls by method and kind. The method of a watch is
// WATCH.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.calls)
}

// LoseAnswers makes the platform close the connection instead of answering the
// next n successful writes, after they have taken effect.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answersToLose = n
}

// SetHosts sets the list of hosts.
func (p *Platform) SetHosts(hosts []savorypinplatform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = slices.Clone(hosts)
}

// SetOutage starts or ends an outage, during which calls fail with status 503.
// Open watches end when it starts.
func (p *Platform) SetOutage(outage bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outage = outage
	p.notifyWatches()
}

// Delete deletes an object, as another program would, also during an outage.
func (p *Platform) Delete(doc savorypinplatform.Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	doc.Metadata.ResourceVersion = strconv.FormatInt(p.version, 10)
	delete(p.objects, doc.Kind+"/"+doc.Metadata.Name)
	p.recordEvent(savorypinplatform.Event{Object: doc, Type: savorypinplatform.EventDeleted})
}

// ExpireEvents discards all past events, so that watches from an earlier version
// get an error event and their clients have to list the objects again.
func (p *Platform) ExpireEvents() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = nil
	p.expiredVersion = p.version
}

// StallWatches stops all open watches from sending events for good, without
// closing them. Later watches work.
func (p *Platform) StallWatches() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalledWatches = p.watches
}

// ServeHTTP serves the object API and the list of hosts, and injects faults on
// requests under /standin/.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/standin/") {
		p.serveControl(w, r)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, savorypinplatform.BasePath), "/")
	watch := r.URL.Query().Get("watch") == "true"
	if p.countCall(r.Method, kind, watch) {
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

// countCall counts a call and reports whether the platform has an outage.
func (p *Platform) countCall(method, kind string, watch bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if watch {
		method = "WATCH"
	}
	p.calls[method+" "+kind]++
	return p.outage
}

func (p *Platform) serveControl(w http.ResponseWriter, r *http.Request) {
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
	lose := status < http.StatusBadRequest && p.answersToLose > 0
	if lose {
		p.answersToLose--
	}
	p.mu.Unlock()
	if lose {
		// Closes the connection although the write has taken effect.
		panic(http.ErrAbortHandler)
	}
	if status >= http.StatusBadRequest {
		http.Error(w, http.StatusText(status), status)
		return
	}
	writeJSON(w, status, doc)
}

// write executes a write and returns the object written and the HTTP status. The
// caller holds p.mu.
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
	p.recordEvent(savorypinplatform.Event{Object: doc, Type: event})
	return doc, http.StatusOK
}

// recordEvent adds an event of the current version to the history and notifies
// the watches. The caller holds p.mu.
func (p *Platform) recordEvent(event savorypinplatform.Event) {
	p.events = append(p.events, platformEvent{event: event, version: p.version})
	if len(p.events) > maxEvents {
		p.expiredVersion = p.events[0].version
		p.events = slices.Delete(p.events, 0, 1)
	}
	p.notifyWatches()
}

// notifyWatches makes all watches check for new events. The caller holds p.mu.
func (p *Platform) notifyWatches() {
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
		if p.isStalled(id) {
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

// openWatch returns the number of a new watch and a channel that fires when its
// timeout is over. The channel is nil if the request has no timeout.
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

func (p *Platform) isStalled(id int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return id <= p.stalledWatches
}

// sendBookmark sends an event with the version up to which a watch has sent all
// events of its kind.
func (p *Platform) sendBookmark(enc *json.Encoder, kind string, version int64) {
	p.mu.Lock()
	newest := p.version
	p.mu.Unlock()
	events, _, ok := p.eventsAfter(kind, version)
	if !ok || len(events) > 0 {
		// The next watch sends the events that came since the last check.
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

// eventsAfter returns the events of a kind after version, or an error event if
// some of them have expired, and a channel that is closed at the next change. It
// reports false during an outage.
func (p *Platform) eventsAfter(kind string, version int64) ([]platformEvent, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outage {
		return nil, nil, false
	}
	if version < p.expiredVersion {
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
	// A failed write means that the client has disconnected, so the error can't be
	// returned to it.
	_ = json.NewEncoder(w).Encode(v)
}
