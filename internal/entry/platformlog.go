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

// platformLogGoroutines is the number of goroutines that platformLog.start starts.
const platformLogGoroutines = 4

const (
	readBuffer   = 4
	appendBuffer = 64
)

// appendRequest holds an encoded record to append to the log.
type appendRequest struct {
	data []byte
}

// appendResult is the result of an append.
type appendResult struct {
	stream string
	offset int64
	// err is set if the append failed; it is then unknown whether the record was written.
	// The main goroutine does not read it: a failed renewal is followed by the next one.
	err        error
	durationMS clock.Millis
}

// platformLog holds the channels to the goroutines that read and append to the platform's
// log, and the main goroutine's state of the two streams.
type platformLog struct {
	client Log
	logger *slog.Logger
	// grantStream is specific to the region, so that a failure in one region does not stop
	// the others.
	grantStream   string
	readResults   chan logsvc.ReadResult
	appendResults chan appendResult
	grantAppends  chan appendRequest
	configAppends chan appendRequest

	grants stream
	config stream
	// renewalPending is true from the time a grant renewal is queued until the result of
	// any append to the grant stream arrives, which may be that of a snapshot.
	renewalPending bool
	lastRenewalAt  clock.Millis
	// lastAppendDurationMS is the duration of the last append to the grant stream, whether
	// it succeeded or failed.
	lastAppendDurationMS clock.Millis
}

// stream is the main goroutine's state of one stream.
type stream struct {
	replay logsvc.Replay
	// readable is false while reads fail, and before the first read.
	readable bool
	// lastSnapshotAt is when a snapshot was last read from the stream or sent to it;
	// without any, it is the time of the first snapshotDue check.
	lastSnapshotAt clock.Millis
	// waitingSince is when replay began to wait for a snapshot, or zero if it is not
	// waiting.
	waitingSince clock.Millis
	// firstOffset is the offset of the oldest record that the log retained at the last read.
	firstOffset int64
}

func newPlatformLog(l Log, region string, logger *slog.Logger) *platformLog {
	return &platformLog{
		client:        l,
		logger:        logger,
		grantStream:   logsvc.StreamGrants + "-" + region,
		readResults:   make(chan logsvc.ReadResult, readBuffer),
		appendResults: make(chan appendResult, appendBuffer),
		grantAppends:  make(chan appendRequest, appendBuffer),
		configAppends: make(chan appendRequest, appendBuffer),
	}
}

func (p *platformLog) start(ctx context.Context, done chan<- error) {
	for _, name := range []string{p.grantStream, logsvc.StreamConfig} {
		go logsvc.NewFollower(name, p.client, p.readResults, p.logger).Run(ctx, done)
	}
	go p.appendLoop(ctx, p.grantStream, p.grantAppends, done)
	go p.appendLoop(ctx, logsvc.StreamConfig, p.configAppends, done)
}

// appendLoop runs in its own goroutine and appends to one stream, one record at a time.
func (p *platformLog) appendLoop(ctx context.Context, name string, requests <-chan appendRequest, done chan<- error) {
	for {
		select {
		case r := <-requests:
			p.appendOne(ctx, name, r)
		case <-ctx.Done():
			done <- errors.Annotatef(ctx.Err(), "append to stream %s", name)
			return
		}
	}
}

func (p *platformLog) appendOne(ctx context.Context, name string, r appendRequest) {
	c := clock.New()
	startedAt := c.Now()
	offset, err := p.client.Append(ctx, name, r.data)
	if err != nil {
		p.logger.Warn("failed to append to the platform's log", "stream", name, "error", err.Error())
	}
	select {
	case p.appendResults <- appendResult{stream: name, offset: offset, err: err, durationMS: c.Now() - startedAt}:
	case <-ctx.Done():
	}
}

// enqueueAppend queues a record for appending. It reports false if the queue is full.
func enqueueAppend(queue chan<- appendRequest, r *wire.Record) bool {
	data, err := proto.Marshal(r)
	if err != nil {
		return false
	}
	select {
	case queue <- appendRequest{data: data}:
		return true
	default:
		return false
	}
}

// announceLeaving queues a grant record without claims that marks the entry as leaving.
func (p *platformLog) announceLeaving(self host.Host) {
	enqueueAppend(p.grantAppends, grantRecord(self, nil, true))
}

func (p *platformLog) streamByName(name string) *stream {
	if name == logsvc.StreamConfig {
		return &p.config
	}
	return &p.grants
}

// onReadResult processes a page of the log, or the failure to read one.
func (e *Entry) onReadResult(r logsvc.ReadResult) {
	now := e.clock.Now()
	s := e.platformLog.streamByName(r.Stream)
	s.readable = r.Err == nil
	if r.Err != nil {
		return
	}
	s.firstOffset = r.Page.First
	if r.Stream == logsvc.StreamConfig {
		e.applyConfigPage(s, r.Page, now)
		return
	}
	e.applyGrantPage(s, r.Page, now)
}

// decodeRecord decodes the message in a record of the log. For malformed data it returns an
// empty message, which every caller ignores.
func decodeRecord(raw logsvc.Record) *wire.Record {
	m := &wire.Record{}
	if proto.Unmarshal(raw.Data, m) != nil {
		return &wire.Record{}
	}
	return m
}

// snapshotCovers returns the offset up to which a snapshot covers its stream. It returns
// false if the record is not a snapshot.
func snapshotCovers(r logsvc.Record) (int64, bool) {
	switch b := decodeRecord(r).Body.(type) {
	case *wire.Record_GrantSnapshot:
		return b.GrantSnapshot.GetCovers(), true
	case *wire.Record_ConfigSnapshot:
		return b.ConfigSnapshot.GetCovers(), true
	}
	return 0, false
}

// applyGrantPage updates the ledger and the roster with a page of the grant stream.
func (e *Entry) applyGrantPage(s *stream, p logsvc.Page, now clock.Millis) {
	step := s.replay.Add(p, snapshotCovers)
	ledger := e.disp.Ledger
	if step.RecordsLost {
		e.log.Warn("retention deleted grant records before they were read", "stream", e.platformLog.grantStream)
		ledger.Initialized = false
	}
	if step.FromStart {
		ledger.InitializeFromStart()
	}
	if step.Restore != nil {
		ledger.Restore(decodeLedgerSnapshot(decodeRecord(*step.Restore).GetGrantSnapshot()), s.firstAfterMissed())
		s.lastSnapshotAt = now
	}
	e.applyGrantRecords(step.Apply, now)
	e.initializeWithoutSnapshotIfDue(s, now)
	e.disp.GrantsApplied(now)
}

// firstAfterMissed returns the offset of the first record after those that replay missed. A
// snapshot must cover all records before it.
func (s *stream) firstAfterMissed() int64 {
	return s.replay.RequiredOffset() + 1
}

func (e *Entry) applyGrantRecords(records []logsvc.Record, now clock.Millis) {
	for _, rec := range records {
		switch b := decodeRecord(rec).Body.(type) {
		case *wire.Record_Grant:
			h := link.DecodeHost(b.Grant.GetEntry())
			e.disp.ApplyGrant(rec.Offset, h, decodeClaims(b.Grant), b.Grant.GetLeaving(), now)
		case *wire.Record_GrantSnapshot:
			e.platformLog.grants.lastSnapshotAt = now
		}
	}
}

// snapshotWaitMS is how long an entry waits for a snapshot from another entry before it
// concludes that there is none.
const snapshotWaitMS clock.Millis = 10_000

// initializeWithoutSnapshotIfDue initializes the ledger without a snapshot if retention has
// deleted the beginning of the log and no snapshot has appeared within snapshotWaitMS, which
// means that no entry was up for the whole retention. It assumes that no deleted grant extends
// beyond now+maxGrantDurationMS. Whoever configures the entry must therefore choose a
// retention far longer than any grant; the command's flags only require at least twice the
// key window.
func (e *Entry) initializeWithoutSnapshotIfDue(s *stream, now clock.Millis) {
	if s.replay.Initialized {
		s.waitingSince = 0
		return
	}
	if s.waitingSince == 0 {
		s.waitingSince = now
	}
	if now-s.waitingSince < snapshotWaitMS {
		return
	}
	e.log.Warn("no snapshot of the grants found; starting at the oldest record of the log", "first", s.firstOffset)
	e.disp.Ledger.InitializeAfterTruncation(s.firstOffset, now+maxGrantDurationMS)
	e.applyGrantRecords(s.replay.InitializeWithoutSnapshot(), now)
}

const (
	// renewalIntervalMS is the interval at which an entry renews its grants and announces
	// itself: one append per second.
	renewalIntervalMS = clock.Second
	// MinGrantDurationMS is how far ahead of the clock key time is granted while appends to
	// the log are fast. The duration grows by appendTimeFactor times the duration of the
	// last append, up to maxGrantDurationMS.
	MinGrantDurationMS = 5 * clock.Second
	maxGrantDurationMS = 60 * clock.Second
	appendTimeFactor   = 3
	// renewalTimeoutMS is how long the entry waits for the result of a renewal before it
	// sends the next one.
	renewalTimeoutMS = 10 * clock.Second
	// snapshotsPerRetention is the number of snapshots in one retention period, if the
	// interval between them is not shorter than minSnapshotIntervalMS.
	snapshotsPerRetention = 8
	minSnapshotIntervalMS = clock.Second
	// amendmentTimeoutMS is how long an operator waits for an amendment to be read back.
	amendmentTimeoutMS = 10 * clock.Second
)

// renewGrants appends claims for the next interval of key time to the log. While the result
// of the previous renewal is outstanding, it sends no new one until renewalTimeoutMS has passed.
// It also initializes the ledger without a snapshot when that is due, since pages that could
// trigger this may be as far apart as one long poll of the log.
func (e *Entry) renewGrants(now clock.Millis) {
	p := e.platformLog
	if !p.grants.replay.Initialized && p.grants.readable && now-p.lastRenewalAt >= renewalIntervalMS {
		e.initializeWithoutSnapshotIfDue(&p.grants, now)
	}
	if e.phase != phaseServing || now-p.lastRenewalAt < renewalIntervalMS {
		return
	}
	if p.renewalPending && now-p.lastRenewalAt < renewalTimeoutMS {
		return
	}
	e.disp.GrantDurationMS = min(MinGrantDurationMS+appendTimeFactor*p.lastAppendDurationMS, maxGrantDurationMS)
	p.lastRenewalAt = now
	p.renewalPending = enqueueAppend(p.grantAppends, grantRecord(e.settings.Self, e.disp.Claims(now), false))
}

// onAppendResult processes the result of an append to the grant stream. Results of the
// configuration stream need no processing: amendments take effect when they are read back.
func (e *Entry) onAppendResult(r appendResult) {
	if r.stream != e.platformLog.grantStream {
		return
	}
	e.platformLog.renewalPending = false
	e.platformLog.lastAppendDurationMS = r.durationMS
}

// applyConfigPage updates the configuration with a page of the configuration stream.
func (e *Entry) applyConfigPage(s *stream, p logsvc.Page, now clock.Millis) {
	step := s.replay.Add(p, snapshotCovers)
	var changed []contr.Document
	if step.Restore != nil {
		m := decodeRecord(*step.Restore).GetConfigSnapshot()
		ds := contr.DecodeDocuments(m.GetConfig())
		s.lastSnapshotAt = now
		if e.config.Restore(m.GetCovers(), m.GetConfig().GetVersion(), ds) {
			changed = ds
		}
	}
	for _, rec := range step.Apply {
		changed = append(changed, e.applyConfigRecord(rec, now)...)
	}
	if len(changed) > 0 {
		e.configChanged(changed, now)
	}
}

// applyConfigRecord applies one record and returns the documents that it changed. It sends
// the verdict on an amendment to the operator who waits for it.
func (e *Entry) applyConfigRecord(rec logsvc.Record, now clock.Millis) []contr.Document {
	switch b := decodeRecord(rec).Body.(type) {
	case *wire.Record_Amendment:
		if rec.Offset <= e.config.Applied {
			e.deliverKnownVerdict(rec.Offset, decodeAmendment(b.Amendment))
			return nil
		}
		v := e.config.Amend(rec.Offset, decodeAmendment(b.Amendment))
		e.deliverVerdict(v)
		if v.Accepted {
			return []contr.Document{e.config.Documents[v.Amendment.Name]}
		}
	case *wire.Record_ConfigSnapshot:
		e.platformLog.config.lastSnapshotAt = now
	}
	return nil
}

func decodeAmendment(m *wire.Amendment) contr.Amendment {
	return contr.Amendment{
		ID:      m.GetId(),
		Author:  m.GetAuthor(),
		Base:    m.GetBase(),
		Name:    m.GetName(),
		Text:    m.GetText(),
		Deleted: m.GetDeleted(),
	}
}

// writeSnapshots writes the state of both streams to the log well before retention
// deletes the records that it was built from. The interval is multiplied by one plus the
// entry's index in the roster, so that usually only the first entry writes snapshots.
func (e *Entry) writeSnapshots(now clock.Millis) {
	if e.phase != phaseServing {
		return
	}
	interval := max(minSnapshotIntervalMS, e.settings.RetentionMS/snapshotsPerRetention) * clock.Millis(1+e.rosterIndex(now))
	g, c := &e.platformLog.grants, &e.platformLog.config
	if g.snapshotDue(now, interval) && e.disp.Ledger.Initialized {
		g.lastSnapshotAt = now
		enqueueAppend(e.platformLog.grantAppends, ledgerSnapshotRecord(e.disp.Ledger.Snapshot()))
	}
	if c.snapshotDue(now, interval) && e.config.Applied != contr.NoVersion {
		c.lastSnapshotAt = now
		enqueueAppend(e.platformLog.configAppends, configSnapshotRecord(e.config))
	}
}

// snapshotDue reports whether the interval has passed since the last snapshot. If there was
// none, the interval starts at the first call.
func (s *stream) snapshotDue(now, interval clock.Millis) bool {
	if !s.replay.Initialized || !s.readable {
		return false
	}
	if s.lastSnapshotAt == 0 {
		s.lastSnapshotAt = now
	}
	return now-s.lastSnapshotAt >= interval
}

// rosterIndex returns this entry's index among the entries that are up, in order of their
// incarnations.
func (e *Entry) rosterIndex(now clock.Millis) int {
	index := 0
	for _, m := range e.disp.Roster.Up(now) {
		if m.Host.Incarnation < e.settings.Self.Incarnation {
			index++
		}
	}
	return index
}

func configSnapshotRecord(c *contr.Config) *wire.Record {
	return &wire.Record{Body: &wire.Record_ConfigSnapshot{ConfigSnapshot: &wire.ConfigSnapshot{
		Covers: c.Applied,
		Config: contr.EncodeConfig(c.Version, c.SortedDocuments()),
	}}}
}
