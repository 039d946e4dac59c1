package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, with the milliseconds since the start of the case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record of a case.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Now returns the milliseconds since the start of the case.
func (r *Record) Now() int64 {
	return time.Since(r.start).Milliseconds()
}

// Add writes one line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7d ms  %s", r.Now(), fmt.Sprintf(format, args...))
	fmt.Fprintln(r.file, strings.ReplaceAll(line, "\n", " "))
}
