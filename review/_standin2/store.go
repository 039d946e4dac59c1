package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in of the platform's store: a log with topics and partitions, of which it
// serves log-append, log-read and log-newest. It loses nothing.
type Store struct {
	mu      sync.Mutex
	parts   map[string][][]byte
	changed chan struct{}
	server  *http.Server
}

// NewStore serves a store at an address.
func NewStore(address string) (*Store, error) {
	s := &Store{parts: map[string][][]byte{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /log-append", s.append)
	m.HandleFunc("GET /log-read", s.read)
	m.HandleFunc("GET /log-newest", s.newest)
	s.server = &http.Server{Handler: m}
	go s.server.Serve(l)
	return s, nil
}

// Put appends a record of a keyed topic, as the operator does.
func (s *Store) Put(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.add(topic+"/0", [][]byte{append(record, value...)})
}

func (s *Store) add(part string, records [][]byte) (first int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = len(s.parts[part])
	s.parts[part] = append(s.parts[part], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

func partOf(r *http.Request) string {
	return r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part")
}

func (s *Store) append(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	first := s.add(partOf(r), records)
	writeJSON(rw, http.StatusOK, map[string]any{"offset": first, "end": first + len(records)})
}

func (s *Store) read(rw http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.parts[partOf(r)], s.changed
		s.mu.Unlock()
		if from < len(records) {
			writeRecords(rw, records, from)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			writeRecords(rw, records, len(records))
			return
		}
	}
}

// writeRecords writes the end, the first offset that is retained, and the records.
func writeRecords(rw http.ResponseWriter, records [][]byte, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, record := range records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	rw.Write(out)
}

type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (s *Store) newest(rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	records := s.parts[partOf(r)]
	s.mu.Unlock()
	at := map[string]int{}
	for i, record := range records {
		at[string(record[1:1+int(record[0])])] = i
	}
	items := []newestItem{}
	for key, i := range at {
		if value := records[i][1+len(key):]; len(value) > 0 {
			items = append(items, newestItem{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: i})
		}
	}
	writeJSON(rw, http.StatusOK, map[string]any{"items": items, "has-more": false, "end": len(records)})
}

func writeJSON(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	json.NewEncoder(rw).Encode(v)
}
