// Package fakes provides simple fakes of the external systems: the platform's append-only
// log, upstreams, and a network path that can be cut. They are used by the dev command,
// benchmarks and tests.
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

// LogFault describes the faults that the log simulates.
type LogFault struct {
	// Down makes every call fail.
	Down bool
	// Delay is the time by which the reply to every append is delayed.
	Delay clock.Millis
	// LostReplies is the fraction of appends, from 0 to 1, that are stored although the
	// client receives an error.
	LostReplies float64
}

// Log is a fake of the platform's log. One goroutine owns the streams.
type Log struct {
	// MaxRecords is the maximum number of records in a stream. Older ones are deleted.
	MaxRecords int
	// Seed makes the selection of lost replies repeatable.
	Seed   uint64
	socket net.Listener
	ops    chan logOp
	ended  chan struct{}
}

// logOp is a message to the goroutine that owns the streams.
type logOp interface{ apply(s *logState) }

type logState struct {
	maxRecords int
	fault      LogFault
	random     *rand.Rand
	streams    map[string]*logStream
}

type logStream struct {
	firstOffset int64
	nextOffset  int64
	records     []logsvc.Record
	// changed is closed at the next append or change of fault, which wakes waiting reads.
	changed chan struct{}
}

type logAppend struct {
	stream string
	data   []byte
	reply  chan<- logAppendResult
}

type logAppendResult struct {
	offset int64
	// lost means that the client receives an error although the record is stored.
	lost  bool
	fault LogFault
}

type logRead struct {
	stream string
	from   int64
	reply  chan<- logReadResult
}

type logReadResult struct {
	page    logsvc.Page
	changed <-chan struct{}
	fault   LogFault
}

type logSetFault struct {
	fault LogFault
	done  chan<- struct{}
}

const (
	maxRecordBytes  = 4 << 20
	maxPageRecords  = 1000
	shutdownTimeout = time.Second
	headerTimeout   = 5 * time.Second
)

// NewLog returns a log with at most maxRecords records in each stream.
func NewLog(maxRecords int, seed uint64) *Log {
	return &Log{MaxRecords: maxRecords, Seed: seed, ops: make(chan logOp), ended: make(chan struct{})}
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

// Run serves requests until ctx ends, and then sends the HTTP server's error to done, which is
// http.ErrServerClosed after a normal end.
func (l *Log) Run(ctx context.Context, done chan<- error) {
	r := mux.NewRouter()
	r.HandleFunc("/v1/streams/{stream}/records", l.append).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{stream}/records", l.read).Methods(http.MethodGet)
	hs := &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout, BaseContext: func(net.Listener) context.Context { return ctx }}
	served := make(chan error, 1)
	go func() { served <- hs.Serve(l.socket) }()
	l.serveOps(ctx)
	// Handlers that wait in do would otherwise block Shutdown.
	close(l.ended)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := hs.Shutdown(shutdownCtx); err != nil {
		hs.Close()
	}
	done <- errors.Annotate(<-served, "serve the log")
}

// serveOps is the main loop of the goroutine that owns the streams.
func (l *Log) serveOps(ctx context.Context) {
	s := &logState{
		maxRecords: l.MaxRecords,
		random:     rand.New(rand.NewPCG(l.Seed, 1)),
		streams:    map[string]*logStream{},
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

// do sends an operation to the goroutine that owns the streams. It reports whether the
// operation was accepted, which is false once the log has ended.
func (l *Log) do(op logOp) bool {
	select {
	case l.ops <- op:
		return true
	case <-l.ended:
		return false
	}
}

// SetFault replaces the faults that the log simulates.
func (l *Log) SetFault(f LogFault) {
	done := make(chan struct{}, 1)
	if l.do(logSetFault{fault: f, done: done}) {
		<-done
	}
}

// stream returns a stream, which it creates at its first use.
func (s *logState) stream(name string) *logStream {
	st := s.streams[name]
	if st == nil {
		st = &logStream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (op logAppend) apply(s *logState) {
	out := logAppendResult{fault: s.fault}
	if s.fault.Down {
		op.reply <- out
		return
	}
	st := s.stream(op.stream)
	out.offset = st.nextOffset
	out.lost = s.random.Float64() < s.fault.LostReplies
	st.records = append(st.records, logsvc.Record{Offset: st.nextOffset, Data: op.data})
	st.nextOffset++
	if extra := len(st.records) - s.maxRecords; extra > 0 {
		st.records = append([]logsvc.Record(nil), st.records[extra:]...)
		st.firstOffset = st.records[0].Offset
	}
	close(st.changed)
	st.changed = make(chan struct{})
	op.reply <- out
}

func (op logRead) apply(s *logState) {
	st := s.stream(op.stream)
	p := logsvc.Page{First: st.firstOffset, Next: max(op.from, st.firstOffset)}
	for _, r := range st.records {
		if r.Offset >= op.from && len(p.Records) < maxPageRecords {
			p.Records = append(p.Records, r)
			p.Next = r.Offset + 1
		}
	}
	op.reply <- logReadResult{page: p, changed: st.changed, fault: s.fault}
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
	reply := make(chan logAppendResult, 1)
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
		reply := make(chan logReadResult, 1)
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
