// Package fakes holds small stand-ins for what the platform and the users bring:
// the append-only log, upstreams, and a network path that can go silent. They serve
// the dev command, measurements and tests.
package fakes

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/logsvc"
)

// LogFault is how the log misbehaves at present.
type LogFault struct {
	// Down refuses every call.
	Down bool
	// Delay holds up every append.
	Delay clock.Millis
	// LostReplies is the part of appends that are written but answered with an
	// error, from 0 to 1.
	LostReplies float64
}

// Log is the stand-in of the platform's log. One task owns the streams.
type Log struct {
	// Retention is the most records that a stream holds.
	Retention int
	// Seed makes the choice of lost replies repeatable.
	Seed   uint64
	socket net.Listener
	ops    chan logOp
	ended  chan struct{}
}

// logOp is a message to the task that owns the streams.
type logOp interface{ apply(s *logState) }

type logState struct {
	retention int
	fault     LogFault
	random    *rand.Rand
	streams   map[string]*logStream
}

type logStream struct {
	first   int64
	next    int64
	records []logsvc.Record
	// changed is closed at the next append.
	changed chan struct{}
}

type logAppend struct {
	stream string
	data   []byte
	reply  chan<- logAppended
}

type logAppended struct {
	offset int64
	lost   bool
	fault  LogFault
}

type logRead struct {
	stream string
	from   int64
	reply  chan<- logPage
}

type logPage struct {
	page    logsvc.Page
	changed <-chan struct{}
	fault   LogFault
}

type logSetFault struct {
	fault LogFault
	done  chan<- struct{}
}

const (
	// maxRecordBytes bounds one record.
	maxRecordBytes = 4 << 20
	maxPage        = 1000
	logShutdown    = time.Second
	headerTimeout  = 5 * time.Second
)

// NewLog returns a log whose streams hold at most retention records.
func NewLog(retention int, seed uint64) *Log {
	return &Log{Retention: retention, Seed: seed, ops: make(chan logOp), ended: make(chan struct{})}
}

// Open binds the log's socket and returns its base URL.
func (l *Log) Open(listen string) (string, error) {
	s, err := net.Listen("tcp", listen)
	if err != nil {
		return "", errors.Annotatef(err, "listen for the log on %s", listen)
	}
	l.socket = s
	return "http://" + s.Addr().String(), nil
}

// Run serves until ctx ends, and then reports on done.
func (l *Log) Run(ctx context.Context, done chan<- error) {
	r := mux.NewRouter()
	r.HandleFunc("/v1/streams/{stream}/records", l.append).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{stream}/records", l.read).Methods(http.MethodGet)
	hs := &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout, BaseContext: func(net.Listener) context.Context { return ctx }}
	served := make(chan error, 1)
	go func() { served <- hs.Serve(l.socket) }()
	l.own(ctx)
	close(l.ended)
	limit, cancel := context.WithTimeout(context.Background(), logShutdown)
	defer cancel()
	if err := hs.Shutdown(limit); err != nil {
		hs.Close()
	}
	done <- errors.Annotate(<-served, "serve the log")
}

// own is the loop of the task that owns the streams.
func (l *Log) own(ctx context.Context) {
	s := &logState{
		retention: l.Retention,
		random:    rand.New(rand.NewPCG(l.Seed, 1)),
		streams:   map[string]*logStream{},
	}
	for {
		select {
		case op := <-l.ops:
			op.apply(s)
		case <-ctx.Done():
			return
		}
	}
}

func (l *Log) do(op logOp) bool {
	select {
	case l.ops <- op:
		return true
	case <-l.ended:
		return false
	}
}

// SetFault changes how the log misbehaves.
func (l *Log) SetFault(f LogFault) {
	done := make(chan struct{}, 1)
	if l.do(logSetFault{fault: f, done: done}) {
		<-done
	}
}

func (s *logState) stream(name string) *logStream {
	st := s.streams[name]
	if st == nil {
		st = &logStream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (op logAppend) apply(s *logState) {
	out := logAppended{fault: s.fault}
	if s.fault.Down {
		op.reply <- out
		return
	}
	st := s.stream(op.stream)
	out.offset = st.next
	out.lost = s.random.Float64() < s.fault.LostReplies
	st.records = append(st.records, logsvc.Record{Offset: st.next, Data: op.data})
	st.next++
	if extra := len(st.records) - s.retention; extra > 0 {
		st.records = append([]logsvc.Record(nil), st.records[extra:]...)
		st.first = st.records[0].Offset
	}
	close(st.changed)
	st.changed = make(chan struct{})
	op.reply <- out
}

func (op logRead) apply(s *logState) {
	st := s.stream(op.stream)
	p := logsvc.Page{First: st.first, Next: max(op.from, st.first)}
	for _, r := range st.records {
		if r.Offset >= op.from && len(p.Records) < maxPage {
			p.Records = append(p.Records, r)
			p.Next = r.Offset + 1
		}
	}
	op.reply <- logPage{page: p, changed: st.changed, fault: s.fault}
}

func (op logSetFault) apply(s *logState) {
	s.fault = op.fault
	for _, st := range s.streams {
		close(st.changed)
		st.changed = make(chan struct{})
	}
	op.done <- struct{}{}
}

func (l *Log) append(rw http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	reply := make(chan logAppended, 1)
	if !l.do(logAppend{stream: mux.Vars(r)["stream"], data: data, reply: reply}) {
		return
	}
	out := <-reply
	clock.Wait(r.Context(), out.fault.Delay)
	if out.fault.Down || out.lost {
		http.Error(rw, "unavailable", http.StatusServiceUnavailable)
		return
	}
	json.NewEncoder(rw).Encode(map[string]int64{"offset": out.offset})
}

func (l *Log) read(rw http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	t := time.NewTimer(clock.Millis(wait).Duration())
	defer t.Stop()
	for {
		reply := make(chan logPage, 1)
		if !l.do(logRead{stream: mux.Vars(r)["stream"], from: from, reply: reply}) {
			return
		}
		out := <-reply
		if out.fault.Down {
			http.Error(rw, "unavailable", http.StatusServiceUnavailable)
			return
		}
		if len(out.page.Records) > 0 {
			json.NewEncoder(rw).Encode(out.page)
			return
		}
		select {
		case <-out.changed:
		case <-t.C:
			json.NewEncoder(rw).Encode(out.page)
			return
		case <-r.Context().Done():
			return
		}
	}
}
