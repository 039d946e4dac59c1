package logsvc

// Replay determines which records of a stream may be applied. A reader misses records if the
// log has already deleted some when it starts, or deletes some before it reads them. It then
// has to wait for a snapshot that covers the missed records.
type Replay struct {
	// Initialized is true while every record before Next has been read or is covered by a
	// snapshot, and after InitializeWithoutSnapshot until records are missed again.
	Initialized bool
	// Next is the offset at which the next page is expected to start. It never decreases.
	Next int64

	started bool
	// requiredOffset is the offset up to which a snapshot must cover the stream, so that it
	// covers all missed records.
	requiredOffset int64
	// pending holds the records read while Initialized is false.
	pending []Record
}

// Step is what the caller has to do after a page, in the order of the fields.
type Step struct {
	// RecordsLost means that records were missed, so the caller's state is no longer
	// complete.
	RecordsLost bool
	// FromStart means that the stream is read from its very first record.
	FromStart bool
	// Restore is a snapshot that replaces the caller's state, or nil.
	Restore *Record
	// Apply holds the records to apply, in order.
	Apply []Record
}

// Add processes the next page. If a record is a snapshot, the function covers returns true
// and the offset up to which the snapshot covers the stream.
func (r *Replay) Add(p Page, covers func(Record) (int64, bool)) Step {
	step := Step{}
	switch {
	case !r.started:
		r.started = true
		r.Initialized = p.First == 0
		step.FromStart = r.Initialized
		r.requiredOffset = p.First - 1
	case p.First > r.Next:
		step.RecordsLost = r.Initialized
		r.Initialized = false
		r.pending = nil
		r.requiredOffset = p.First - 1
	}
	r.Next = max(r.Next, p.Next)
	if r.Initialized {
		step.Apply = p.Records
		return step
	}
	r.pending = append(r.pending, p.Records...)
	r.initializeFromSnapshot(&step, covers)
	return step
}

// initializeFromSnapshot uses the first pending snapshot that covers all missed records, if
// there is one.
func (r *Replay) initializeFromSnapshot(step *Step, covers func(Record) (int64, bool)) {
	for i := range r.pending {
		c, ok := covers(r.pending[i])
		if !ok || c < r.requiredOffset {
			continue
		}
		restore := r.pending[i]
		step.Restore = &restore
		for _, rec := range r.pending {
			if rec.Offset > c {
				step.Apply = append(step.Apply, rec)
			}
		}
		r.pending = nil
		r.Initialized = true
		return
	}
}

// RequiredOffset returns the offset up to which a snapshot must cover the stream to
// initialize the reader.
func (r *Replay) RequiredOffset() int64 {
	return r.requiredOffset
}

// InitializeWithoutSnapshot initializes the reader despite missed records, and returns the
// records to apply.
func (r *Replay) InitializeWithoutSnapshot() []Record {
	apply := r.pending
	r.pending = nil
	r.Initialized = true
	return apply
}
