package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageEntries is the number of entries of a page of a list.
const pageEntries = 500

type objectMetadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreatedAt  int64    `json:"created_at"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata objectMetadata  `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeEvent struct {
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
	kind    string
}

// store is a stand-in of the platform's metadata store. It is linearizable and keeps its whole
// history.
type store struct {
	address string

	mu sync.Mutex
	// changed is closed at the next change.
	changed chan struct{}
	events  []storeEvent
	// onStatus is called, with the lock held, after the status of an object was replaced.
	onStatus func(kind, name string, status json.RawMessage)
	// lateBy returns how much later a write of a status is done, which is then never answered; zero if
	// it is done at once and answered. It is called with the lock held; nil means that none is late.
	lateBy func(kind, name string, status json.RawMessage) time.Duration
	kinds  map[string]map[string]object
	// era is the header that rises when the store comes back from a copy.
	era int
	// cut says that the machines are cut off: they get no answers. The operator isn't.
	cut      bool
	revision int64
}

// startStore starts a store.
func (b *bench) startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), changed: make(chan struct{}), era: 1, kinds: map[string]map[string]object{}, revision: 100}
	server := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		// Serve returns when the case ends.
		_ = server.Serve(l)
	}()
	b.atEnd(func() { server.Close() })
	return s, nil
}

// put writes an object as the operator or a replica does. It returns when the write is acknowledged.
func (s *store) put(kind, name string, spec any) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Metadata: objectMetadata{Name: name}, Spec: data}, false)
	return nil
}

// remove deletes an object, as the platform does with the entry of a replica that has left.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Metadata: objectMetadata{Name: name}}, true)
}

// storeCopy is the content of a store at a moment.
type storeCopy struct {
	events   []storeEvent
	kinds    map[string]map[string]object
	revision int64
}

// copy returns a copy of the store's content.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	kinds := map[string]map[string]object{}
	for kind, objects := range s.kinds {
		kinds[kind] = maps.Clone(objects)
	}
	return storeCopy{events: slices.Clone(s.events), kinds: kinds, revision: s.revision}
}

// comeBack replaces the store's content by a copy.
func (s *store) comeBack(from storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.events, s.kinds, s.revision = from.events, from.kinds, from.revision
	s.wake()
}

// setCut sets whether the machines are cut off. What they ask meanwhile is never answered.
func (s *store) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
	s.wake()
}

// hang holds a call until the machine gives it up. The caller holds s.mu, which is released meanwhile.
func (s *store) hang(r *http.Request) {
	s.mu.Unlock()
	defer s.mu.Lock()
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write stores or deletes an object. The caller holds s.mu.
func (s *store) write(kind string, o object, deleted bool) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][o.Metadata.Name] = o
	if deleted {
		delete(s.kinds[kind], o.Metadata.Name)
	}
	s.events = append(s.events, storeEvent{Deleted: deleted, Object: o, kind: kind})
	s.wake()
	return o
}

// ServeHTTP serves a call of a machine.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	switch {
	case s.cut:
		s.hang(r)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		o, ok := s.kinds[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name, isStatus)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	entries := []object{}
	more := false
	for _, name := range slices.Sorted(maps.Keys(s.kinds[kind])) {
		if name <= after {
			continue
		}
		if len(entries) == pageEntries {
			more = true
			break
		}
		entries = append(entries, s.kinds[kind][name])
	}
	answer(w, http.StatusOK, map[string]any{"at": s.revision, "entries": entries, "has_more": more})
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = o.Metadata.Name
	}
	o.Metadata.Name = name
	if isStatus && s.lateBy != nil {
		if late := s.lateBy(kind, name, o.Status); late > 0 {
			time.AfterFunc(late, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.apply(r.Method, kind, o, isStatus)
			})
			s.hang(r)
		}
	}
	status, result := s.apply(r.Method, kind, o, isStatus)
	if status == http.StatusNotFound {
		w.WriteHeader(status)
		return
	}
	answer(w, status, result)
}

// apply carries out a write if its condition holds. It returns the status and the object of the answer.
// The caller holds s.mu.
func (s *store) apply(method, kind string, o object, isStatus bool) (int, object) {
	current, exists := s.kinds[kind][o.Metadata.Name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, current
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, object{}
	case exists && o.Metadata.Revision != 0 && o.Metadata.Revision != current.Metadata.Revision:
		return http.StatusConflict, current
	}
	if isStatus {
		current.Status = o.Status
		o = current
	}
	written := s.write(kind, o, method == http.MethodDelete)
	if isStatus && s.onStatus != nil {
		s.onStatus(kind, o.Metadata.Name, o.Status)
	}
	return http.StatusOK, written
}

// watch answers once there are events after a revision or the time is over. The caller holds s.mu.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		wait = 0
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over, era := false, s.era; ; {
		if era != s.era || since > s.revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if s.cut {
			s.hang(r)
		}
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > since {
				events = append(events, e)
			}
		}
		if over || len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"at": s.revision, "events": events})
			return
		}
		over = s.await(r, end)
	}
}

// await waits for a change. It reports whether the time was over first. The caller holds s.mu, which
// is released meanwhile.
func (s *store) await(r *http.Request, end <-chan time.Time) bool {
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-changed:
		return false
	case <-end:
	case <-r.Context().Done():
	}
	return true
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails if the machine has left.
	_ = json.NewEncoder(w).Encode(v)
}
