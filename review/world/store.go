//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one item of the store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// storePageSize is the number of items of a page.
const storePageSize = 50

// store is the platform's metadata store. It is read over HTTP and written by the world itself.
type store struct {
	record   *record
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
	server   *http.Server
	address  string
	answered chan string // gets the address of a caller whose watch was answered at once, if somebody waits for it
}

func newStore(r *record, address string, revision uint64) (*store, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{record: r, items: map[string]item{}, revision: revision, changed: make(chan struct{}), answered: make(chan string), address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.RangePath, s.serveRange)
	mux.HandleFunc("GET "+wire.WatchPath, s.serveWatch)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes an item. The return is the acknowledgement.
func (s *store) put(key, value string) { s.apply(item{Key: key, Value: []byte(value)}) }

func (s *store) remove(key string) { s.apply(item{Key: key, Removed: true}) }

func (s *store) apply(it item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision, it.Created = s.revision, s.revision
	if it.Removed {
		delete(s.items, it.Key)
	} else {
		if before, ok := s.items[it.Key]; ok {
			it.Created = before.Created
		}
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	page := found[:min(storePageSize, len(found))]
	s.answer(w, wire.ItemsFormat, page, len(found) > len(page), revision)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.FormValue(wire.WaitParameter))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	startedAt := time.Now()
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, r.FormValue("prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			s.answer(w, wire.EventsFormat, events, revision)
			if time.Since(startedAt) < 20*time.Millisecond {
				select {
				case s.answered <- r.RemoteAddr:
				default:
				}
			}
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			s.answer(w, wire.EventsFormat, events, revision)
			return
		}
	}
}

// answer sends a response in a format of the pages, whose first value is a list of items.
func (s *store) answer(w http.ResponseWriter, format string, items []item, rest ...any) {
	list, err := json.Marshal(items)
	if err != nil {
		panic(err)
	}
	time.Sleep(4 * time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, format, append([]any{list}, rest...)...)
}
