package entry

import (
	"context"
	"log/slog"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/logsvc"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// platformTasks is the number of tasks that platform.start starts.
const platformTasks = 4

const (
	followedBuffer = 4
	appendBuffer   = 64
)

// appendJob is a record for the log.
type appendJob struct {
	data []byte
}

// appended is the end of an append.
type appended struct {
	stream string
	offset int64
	// err leaves it unknown whether the record was written.
	err    error
	tookMS clock.Millis
}

// platform holds the tasks that talk to the platform's log, and what the entry's
// task knows of the two streams.
type platform struct {
	reader Log
	log    *slog.Logger
	// grantStream is the region's own, so that regions do not stop one another.
	grantStream string
	followed    chan logsvc.ReadResult
	appended    chan appended
	grantJobs   chan appendJob
	configJobs  chan appendJob

	grants stream
	config stream
	// renewing is true while a grant append is out.
	renewing  bool
	renewedAt clock.Millis
	tookMS    clock.Millis
}

// stream is what the entry's task knows of one stream.
type stream struct {
	replay logsvc.Replay
	// readable is false while reads fail.
	readable bool
	// snapshotAt is when a snapshot was last seen.
	snapshotAt clock.Millis
	// waitsFrom is since when the reader lacks a base.
	waitsFrom clock.Millis
	first     int64
}

func newPlatform(l Log, region string, log *slog.Logger) *platform {
	return &platform{
		reader:      l,
		log:         log,
		grantStream: logsvc.StreamGrants + "-" + region,
		followed:    make(chan logsvc.ReadResult, followedBuffer),
		appended:    make(chan appended, appendBuffer),
		grantJobs:   make(chan appendJob, appendBuffer),
		configJobs:  make(chan appendJob, appendBuffer),
	}
}

func (p *platform) start(ctx context.Context, done chan<- error) {
	for _, name := range []string{p.grantStream, logsvc.StreamConfig} {
		go logsvc.NewFollower(name, p.reader, p.followed, p.log).Run(ctx, done)
	}
	go p.appendLoop(ctx, p.grantStream, p.grantJobs, done)
	go p.appendLoop(ctx, logsvc.StreamConfig, p.configJobs, done)
}

// appendLoop is the task that appends to one stream, one record at a time.
func (p *platform) appendLoop(ctx context.Context, name string, jobs <-chan appendJob, done chan<- error) {
	for {
		select {
		case j := <-jobs:
			p.appendOne(ctx, name, j)
		case <-ctx.Done():
			done <- errors.Annotatef(ctx.Err(), "append to stream %s", name)
			return
		}
	}
}

func (p *platform) appendOne(ctx context.Context, name string, j appendJob) {
	c := clock.New()
	began := c.Now()
	offset, err := p.reader.Append(ctx, name, j.data)
	if err != nil {
		p.log.Warn("append failed", "stream", name, "error", err.Error())
	}
	select {
	case p.appended <- appended{stream: name, offset: offset, err: err, tookMS: c.Now() - began}:
	case <-ctx.Done():
	}
}

// offer queues a record; it reports whether there was room.
func offer(jobs chan<- appendJob, r *wire.Record) bool {
	data, err := proto.Marshal(r)
	if err != nil {
		return false
	}
	select {
	case jobs <- appendJob{data: data}:
		return true
	default:
		return false
	}
}

func (p *platform) announceLeaving(self host.Host) {
	offer(p.grantJobs, grantRecord(self, nil, true))
}

func (p *platform) streamOf(name string) *stream {
	if name == logsvc.StreamConfig {
		return &p.config
	}
	return &p.grants
}

// onFollowed takes a page of the log.
func (e *Entry) onFollowed(f logsvc.ReadResult) {
	now := e.clock.Now()
	s := e.platform.streamOf(f.Stream)
	s.readable = f.Err == nil
	if f.Err != nil {
		return
	}
	s.first = f.Page.First
	if f.Stream == logsvc.StreamConfig {
		e.readConfig(s, f.Page, now)
		return
	}
	e.readGrants(s, f.Page, now)
}

func recordOf(r logsvc.Record) *wire.Record {
	m := &wire.Record{}
	if proto.Unmarshal(r.Data, m) != nil {
		return &wire.Record{}
	}
	return m
}

func coversOf(r logsvc.Record) (int64, bool) {
	switch b := recordOf(r).Body.(type) {
	case *wire.Record_GrantSnapshot:
		return b.GrantSnapshot.GetCovers(), true
	case *wire.Record_ConfigSnapshot:
		return b.ConfigSnapshot.GetCovers(), true
	}
	return 0, false
}

func (e *Entry) readGrants(s *stream, p logsvc.Page, now clock.Millis) {
	step := s.replay.Add(p, coversOf)
	ledger := e.disp.Ledger
	if step.RecordsLost {
		e.log.Warn("grants were lost to the log's retention", "stream", e.platform.grantStream)
		ledger.Initialized = false
	}
	if step.FromStart {
		ledger.InitializeFromStart()
	}
	if step.Restore != nil {
		ledger.Restore(ledgerSnapshotOf(recordOf(*step.Restore).GetGrantSnapshot()), s.replayNeed())
		s.snapshotAt = now
	}
	e.applyGrants(step.Apply, now)
	e.coldStart(s, now)
	e.disp.GrantsApplied(now)
}

// replayNeed is the oldest offset that a snapshot may leave out.
func (s *stream) replayNeed() int64 {
	return s.replay.RequiredOffset() + 1
}

func (e *Entry) applyGrants(records []logsvc.Record, now clock.Millis) {
	for _, rec := range records {
		switch b := recordOf(rec).Body.(type) {
		case *wire.Record_Grant:
			h := link.DecodeHost(b.Grant.GetEntry())
			e.disp.ApplyGrant(rec.Offset, h, claimsOf(b.Grant), b.Grant.GetLeaving(), now)
		case *wire.Record_GrantSnapshot:
			e.platform.grants.snapshotAt = now
		}
	}
}

// coldStartMS is how long an entry waits for a snapshot from any other entry before
// it concludes that there is none.
const coldStartMS clock.Millis = 10_000

// coldStart bases the ledger when every record before the oldest one is lost and no
// snapshot is there: no entry was up for the whole retention. The lost grants ended
// long ago, since retention is checked to be far longer than any horizon.
func (e *Entry) coldStart(s *stream, now clock.Millis) {
	if s.replay.Initialized {
		s.waitsFrom = 0
		return
	}
	if s.waitsFrom == 0 {
		s.waitsFrom = now
	}
	if now-s.waitsFrom < coldStartMS {
		return
	}
	e.log.Warn("no snapshot of the grants; starting behind the log's retention", "first", s.first)
	e.disp.Ledger.InitializeAfterTruncation(s.first, now+maxHorizonMS)
	e.applyGrants(s.replay.InitializeWithoutSnapshot(), now)
}

const (
	// renewEvery is the interval at which grants are renewed and the entry announces
	// itself: one append a second.
	renewEvery = clock.Second
	// MinGrantDurationMS is how far ahead key time is granted while the log is quick. It
	// grows with the time that appends take, up to maxHorizonMS.
	MinGrantDurationMS = 5 * clock.Second
	maxHorizonMS       = 60 * clock.Second
	horizonPerAppend   = 3
	// renewTimeoutMS is how long a renewal may stay without an answer.
	renewTimeoutMS = 10 * clock.Second
	// snapshotPart of the retention is the interval between snapshots.
	snapshotPart  = 8
	minSnapshotMS = clock.Second
	// amendmentWaitMS is how long an amendment waits to be read back.
	amendmentWaitMS = 10 * clock.Second
)

// renew asks the log for the next piece of key time. One append is out at a time.
func (e *Entry) renew(now clock.Millis) {
	p := e.platform
	if !p.grants.replay.Initialized && p.grants.readable && now-p.renewedAt >= renewEvery {
		e.coldStart(&p.grants, now)
	}
	if e.phase != phaseServing || now-p.renewedAt < renewEvery {
		return
	}
	if p.renewing && now-p.renewedAt < renewTimeoutMS {
		return
	}
	e.disp.GrantDurationMS = min(MinGrantDurationMS+horizonPerAppend*p.tookMS, maxHorizonMS)
	p.renewedAt = now
	p.renewing = offer(p.grantJobs, grantRecord(e.settings.Self, e.disp.Claims(now), false))
}

func (e *Entry) onAppended(a appended) {
	if a.stream != e.platform.grantStream {
		return
	}
	e.platform.renewing = false
	e.platform.tookMS = a.tookMS
}

func (e *Entry) readConfig(s *stream, p logsvc.Page, now clock.Millis) {
	step := s.replay.Add(p, coversOf)
	var changed []contr.Document
	if step.Restore != nil {
		m := recordOf(*step.Restore).GetConfigSnapshot()
		ds := contr.DecodeDocuments(m.GetConfig())
		s.snapshotAt = now
		if e.config.Restore(m.GetCovers(), m.GetConfig().GetVersion(), ds) {
			changed = ds
		}
	}
	for _, rec := range step.Apply {
		changed = append(changed, e.applyConfig(rec, now)...)
	}
	if len(changed) > 0 {
		e.configChanged(changed, now)
	}
}

// applyConfig applies one record and returns the documents that it changed.
func (e *Entry) applyConfig(rec logsvc.Record, now clock.Millis) []contr.Document {
	switch b := recordOf(rec).Body.(type) {
	case *wire.Record_Amendment:
		if rec.Offset <= e.config.Applied {
			e.judged(rec.Offset, amendmentOf(b.Amendment))
			return nil
		}
		v := e.config.Amend(rec.Offset, amendmentOf(b.Amendment))
		e.verdict(v)
		if v.Accepted {
			return []contr.Document{e.config.Documents[v.Amendment.Name]}
		}
	case *wire.Record_ConfigSnapshot:
		e.platform.config.snapshotAt = now
	}
	return nil
}

func amendmentOf(m *wire.Amendment) contr.Amendment {
	return contr.Amendment{
		ID:      m.GetId(),
		Author:  m.GetAuthor(),
		Base:    m.GetBase(),
		Name:    m.GetName(),
		Text:    m.GetText(),
		Deleted: m.GetDeleted(),
	}
}

// snapshot writes the state of both streams to the log well before the records that
// it rests on age out. Entries take turns by rank, so that usually one writes.
func (e *Entry) snapshot(now clock.Millis) {
	if e.phase != phaseServing {
		return
	}
	every := max(minSnapshotMS, e.settings.RetentionMS/snapshotPart) * clock.Millis(1+e.rank(now))
	g, c := &e.platform.grants, &e.platform.config
	if g.snapshotDue(now, every) && e.disp.Ledger.Initialized {
		g.snapshotAt = now
		offer(e.platform.grantJobs, ledgerRecord(e.disp.Ledger.Snapshot()))
	}
	if c.snapshotDue(now, every) && e.config.Applied != contr.NoVersion {
		c.snapshotAt = now
		offer(e.platform.configJobs, bookRecord(e.config))
	}
}

func (s *stream) snapshotDue(now, every clock.Millis) bool {
	if !s.replay.Initialized || !s.readable {
		return false
	}
	if s.snapshotAt == 0 {
		s.snapshotAt = now
	}
	return now-s.snapshotAt >= every
}

// rank is this entry's place among those that are up.
func (e *Entry) rank(now clock.Millis) int {
	rank := 0
	for _, m := range e.disp.Roster.Up(now) {
		if m.Host.Incarnation < e.settings.Self.Incarnation {
			rank++
		}
	}
	return rank
}

func bookRecord(b *contr.Config) *wire.Record {
	return &wire.Record{Body: &wire.Record_ConfigSnapshot{ConfigSnapshot: &wire.ConfigSnapshot{
		Covers: b.Applied,
		Config: contr.EncodeConfig(b.Version, b.SortedDocuments()),
	}}}
}
