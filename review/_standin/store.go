package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// storeLatency is the time that the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// store plays the platform's store, as far as the project uses it: keyed topics that are
// appended to and read, and the newest record of each key.
type store struct {
	server *http.Server
	mu     sync.Mutex
	parts  map[string][]storeRecord // by topic and partition
}

type storeRecord struct {
	key   string
	value []byte
}

func newStore(address string) *store {
	s := &store{parts: map[string][]storeRecord{}}
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
	return s
}

func partName(topic string, part string) string { return topic + "/" + part }

func (s *store) append(topic string, part int, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := partName(topic, strconv.Itoa(part))
	s.parts[name] = append(s.parts[name], storeRecord{key: key, value: []byte(value)})
}

func (s *store) records(name string) []storeRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts[name]
}

func (s *store) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := partName(q.Get("topic"), q.Get("part"))
	time.Sleep(storeLatency)
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.serveAppend(rw, r, name)
	case "GET /log-read":
		s.serveRead(rw, r, name)
	case "GET /log-newest":
		s.serveNewest(rw, name)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(rw http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	var added []storeRecord
	for len(body) > 0 {
		if len(body) < 5 {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		n, k := int(binary.BigEndian.Uint32(body)), int(body[4])
		if len(body) < 4+n || n < 1+k {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		added = append(added, storeRecord{key: string(body[5 : 5+k]), value: append([]byte(nil), body[5+k:4+n]...)})
		body = body[4+n:]
	}
	s.mu.Lock()
	offset := len(s.parts[name])
	s.parts[name] = append(s.parts[name], added...)
	end := len(s.parts[name])
	s.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(rw, `{"offset":%d,"end":%d}`, offset, end)
}

func (s *store) serveRead(rw http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for len(s.records(name)) <= from && time.Now().Before(deadline) && r.Context().Err() == nil {
		time.Sleep(2 * time.Millisecond)
	}
	records := s.records(name)
	page := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	page = binary.BigEndian.AppendUint64(page, 0)
	for _, rec := range records[min(from, len(records)):] {
		page = binary.BigEndian.AppendUint32(page, uint32(1+len(rec.key)+len(rec.value)))
		page = append(append(append(page, byte(len(rec.key))), rec.key...), rec.value...)
	}
	rw.Write(page)
}

func (s *store) serveNewest(rw http.ResponseWriter, name string) {
	records := s.records(name)
	newest := map[string]int{}
	for i, rec := range records {
		newest[rec.key] = i
	}
	items := []map[string]any{}
	for key, i := range newest {
		if len(records[i].value) > 0 {
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(records[i].value), "offset": i})
		}
	}
	rw.Header().Set("Content-Type", "application/json")
	json.NewEncoder(rw).Encode(map[string]any{"items": items, "has-more": false, "end": len(records)})
}
