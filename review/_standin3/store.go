package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store stands in for the platform's metadata store: a log of topics and partitions in memory.
// It answers the calls of the page that the system makes, each after answerDelay.
type store struct {
	mu         sync.Mutex
	partitions map[string][]storeRecord
	changed    chan struct{}
	server     *http.Server
}

// storeRecord is a record without its length.
type storeRecord struct {
	content []byte
}

const (
	answerDelay  = 4 * time.Millisecond
	maxReadBytes = 1 << 20
	maxPageItems = 500
	lengthBytes  = 4
)

func newStore(address string) (*store, error) {
	s := &store{partitions: map[string][]storeRecord{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(l)
	return s, nil
}

func partitionKey(r *http.Request) string {
	return r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part")
}

// put writes a keyed record as the operator does.
func (s *store) put(topic, key string, value []byte) {
	content := append([]byte{byte(len(key))}, key...)
	s.add(topic+"/0", []storeRecord{{content: append(content, value...)}})
}

func (s *store) add(partition string, records []storeRecord) (offset, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset = len(s.partitions[partition])
	s.partitions[partition] = append(s.partitions[partition], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, len(s.partitions[partition])
}

func (s *store) append(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	if topic := r.URL.Query().Get("topic"); topic == "keyed.op" || topic == "keyed.servers" {
		rw.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []storeRecord
	for len(body) >= lengthBytes {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < lengthBytes+n {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, storeRecord{content: append([]byte(nil), body[lengthBytes:lengthBytes+n]...)})
		body = body[lengthBytes+n:]
	}
	offset, end := s.add(partitionKey(r), records)
	writeJSON(rw, http.StatusOK, map[string]any{"offset": offset, "end": end})
}

// read answers with the records from an offset on, and waits for one if there is none.
func (s *store) read(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		records, changed := s.partitions[partitionKey(r)], s.changed
		s.mu.Unlock()
		if len(records) > from || !waiting {
			page := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			page = binary.BigEndian.AppendUint64(page, 0)
			for _, record := range records[min(from, len(records)):] {
				if len(page)+len(record.content) > maxReadBytes {
					break
				}
				page = binary.BigEndian.AppendUint32(page, uint32(len(record.content)))
				page = append(page, record.content...)
			}
			rw.Write(page)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// newest answers with the newest record of each key, by key.
func (s *store) newest(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	s.mu.Lock()
	records := s.partitions[partitionKey(r)]
	s.mu.Unlock()
	newest := map[string]int{}
	for i, record := range records {
		n := int(record.content[0])
		key, value := string(record.content[1:1+n]), record.content[1+n:]
		if len(value) == 0 {
			delete(newest, key)
		} else {
			newest[key] = i
		}
	}
	var keys []string
	for key := range newest {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), maxPageItems)] {
		value := records[newest[key]].content[1+len(key):]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": newest[key]})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"items": items, "has-more": len(keys) > maxPageItems, "end": len(records)})
}

func writeJSON(rw http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprint("encode response: ", err))
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	rw.Write(body)
}
