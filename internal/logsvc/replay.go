package logsvc

// Replay decides which records of a stream may be applied. A reader that starts
// behind the retention, or that the retention passes, has not seen all records and
// must wait for a snapshot that covers what it missed.
type Replay struct {
	// Initialized is true while every record up to Next has been seen or is covered.
	Initialized bool
	// Next is where the next page is expected to begin; it never decreases.
	Next int64

	started bool
	need    int64
	pending []Record
}

// Step is what the owner does with a page, in this order.
type Step struct {
	// RecordsLost is set when records were missed: the owner's state is no longer complete.
	RecordsLost bool
	// FromStart is set when the stream is read from its very first record.
	FromStart bool
	// Restore is a snapshot to take over, or nil.
	Restore *Record
	// Apply holds the records to apply, in order.
	Apply []Record
}

// Add takes the next page. Covers returns the offset up to which a record, if it is
// a snapshot, includes the stream.
func (r *Replay) Add(p Page, covers func(Record) (int64, bool)) Step {
	s := Step{}
	switch {
	case !r.started:
		r.started = true
		r.Initialized = p.First == 0
		s.FromStart = r.Initialized
		r.need = p.First - 1
	case p.First > r.Next:
		s.RecordsLost = r.Initialized
		r.Initialized = false
		r.pending = nil
		r.need = p.First - 1
	}
	r.Next = max(r.Next, p.Next)
	if r.Initialized {
		s.Apply = p.Records
		return s
	}
	r.pending = append(r.pending, p.Records...)
	r.findBase(&s, covers)
	return s
}

func (r *Replay) findBase(s *Step, covers func(Record) (int64, bool)) {
	for i := range r.pending {
		c, ok := covers(r.pending[i])
		if !ok || c < r.need {
			continue
		}
		restore := r.pending[i]
		s.Restore = &restore
		for _, rec := range r.pending {
			if rec.Offset > c {
				s.Apply = append(s.Apply, rec)
			}
		}
		r.pending = nil
		r.Initialized = true
		return
	}
}

// RequiredOffset is the offset up to which a snapshot must reach to base the reader.
func (r *Replay) RequiredOffset() int64 {
	return r.need
}

// InitializeWithoutSnapshot bases a reader without a snapshot, and returns the records to apply.
func (r *Replay) InitializeWithoutSnapshot() []Record {
	apply := r.pending
	r.pending = nil
	r.Initialized = true
	return apply
}
