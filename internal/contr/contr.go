// Package contr holds the contracts: one declaration a customer, from which every
// limit, share and priority follows.
package contr

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Priority orders work inside what its contract pays for.
type Priority string

// The priorities of a kind.
const (
	PriorityOrdinary Priority = "ordinary"
	PriorityUrgent   Priority = "urgent"
)

// Contract is one customer's declaration.
type Contract struct {
	// Customer is unique among all contracts.
	Customer string `yaml:"customer" json:"customer"`
	// Tokens are the SHA-256 hashes of the customer's bearer tokens, in hex.
	Tokens []string `yaml:"tokens" json:"-"`
	// Share is the customer's weight, above zero.
	Share float64 `yaml:"share" json:"share"`
	// FloorSlots is never above CeilingSlots.
	FloorSlots int `yaml:"floor_slots" json:"floor_slots"`
	// CeilingSlots is the most slots in use at once; zero stands for no ceiling.
	CeilingSlots int `yaml:"ceiling_slots" json:"ceiling_slots"`
	// Rate limits the tasks admitted.
	Rate Rate `yaml:"rate" json:"rate"`
	// Queue is the most tasks that wait at one entry, above zero.
	Queue int `yaml:"queue" json:"queue"`
	// UrgentPercent is the part of the customer's share in which its urgent work
	// goes ahead of other customers, from 0 to 100.
	UrgentPercent float64 `yaml:"urgent_percent" json:"urgent_percent"`
	// RetryPercent is the number of retries and hedges for each hundred first
	// attempts, from 0 to 100.
	RetryPercent float64 `yaml:"retry_percent" json:"retry_percent"`
	// Kinds is never empty, and its names are unique.
	Kinds []Kind `yaml:"kinds" json:"kinds"`
}

// Rate is a token bucket.
type Rate struct {
	// PerSecond is above zero.
	PerSecond float64 `yaml:"per_second" json:"per_second"`
	// Burst is at least one.
	Burst float64 `yaml:"burst" json:"burst"`
}

// Kind is one kind of request of a customer.
type Kind struct {
	Name string `yaml:"name" json:"name"`
	// Idempotent kinds may be tried again and hedged.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
	// Share is the kind's weight within the contract, above zero.
	Share float64 `yaml:"share" json:"share"`
	// Priority is never empty after Parse.
	Priority Priority `yaml:"priority" json:"priority"`
	// DeadlineMS is the longest that a caller waits, above zero.
	DeadlineMS int64 `yaml:"deadline_ms" json:"deadline_ms"`
	// Hedge is true only if Idempotent is.
	Hedge bool `yaml:"hedge" json:"hedge"`
}

// Deadline returns the longest that a caller of k waits.
func (k Kind) Deadline() clock.Millis {
	return clock.Millis(k.DeadlineMS)
}

// Kind returns the kind of that name, or nil.
func (c *Contract) Kind(name string) *Kind {
	for i := range c.Kinds {
		if c.Kinds[i].Name == name {
			return &c.Kinds[i]
		}
	}
	return nil
}

// FieldError is a fault in a contract's text.
type FieldError struct {
	File   string
	Line   int
	Field  string
	Reason string
}

// Error names the file, the line and the field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Reason)
}

// Bounds of a contract's text, so that a document fits a record of the log.
const (
	maxTextBytes = 64 << 10
	maxKinds     = 64
	maxDeadline  = int64(600_000) // ms
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9_-]{0,62}$`)

// Parse reads one contract and checks it. File names the text in errors, which
// are FieldErrors where a field is at fault.
func Parse(file string, text []byte) (*Contract, error) {
	if len(text) > maxTextBytes {
		return nil, errors.Errorf("parse contract %s: %d bytes are over the limit of %d", file, len(text), maxTextBytes)
	}
	c := &Contract{}
	d := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := d.Decode(c); err != nil {
		return nil, errors.Annotatef(err, "parse contract %s", file)
	}
	c.fill()
	if err := c.check(file, text); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Contract) fill() {
	for i := range c.Kinds {
		if c.Kinds[i].Priority == "" {
			c.Kinds[i].Priority = PriorityOrdinary
		}
	}
}

// fault is a field that breaks an invariant.
type fault struct {
	broken bool
	path   string
	reason string
}

func (c *Contract) check(file string, text []byte) error {
	faults := c.faults()
	for i := range c.Kinds {
		faults = append(faults, c.kindFaults(i)...)
	}
	for _, f := range faults {
		if f.broken {
			return &FieldError{File: file, Line: lineOf(text, f.path), Field: f.path, Reason: f.reason}
		}
	}
	return nil
}

func (c *Contract) faults() []fault {
	fs := []fault{
		{!namePattern.MatchString(c.Customer), "customer", "want a lower-case name"},
		{len(c.Tokens) == 0, "tokens", "want at least one sha-256 hash"},
		{!(c.Share > 0 && c.Share <= 1e6), "share", "want above 0, at most 1000000"},
		{c.FloorSlots < 0, "floor_slots", "want 0 or more"},
		{c.CeilingSlots < 0, "ceiling_slots", "want 0 or more"},
		{c.CeilingSlots > 0 && c.FloorSlots > c.CeilingSlots, "floor_slots", "is above ceiling_slots"},
		{!(c.Rate.PerSecond > 0 && c.Rate.PerSecond <= 1e6), "rate.per_second", "want above 0, at most 1000000"},
		{!(c.Rate.Burst >= 1 && c.Rate.Burst <= 1e6), "rate.burst", "want 1 to 1000000"},
		{c.Queue < 1 || c.Queue > 1e6, "queue", "want 1 to 1000000"},
		{!(c.UrgentPercent >= 0 && c.UrgentPercent <= 100), "urgent_percent", "want 0 to 100"},
		{!(c.RetryPercent >= 0 && c.RetryPercent <= 100), "retry_percent", "want 0 to 100"},
		{len(c.Kinds) == 0 || len(c.Kinds) > maxKinds, "kinds", "want 1 to 64 kinds"},
	}
	for i, t := range c.Tokens {
		b, err := hex.DecodeString(t)
		fs = append(fs, fault{err != nil || len(b) != 32, fmt.Sprintf("tokens[%d]", i), "want a sha-256 hash in hex"})
	}
	return fs
}

func (c *Contract) kindFaults(i int) []fault {
	k := c.Kinds[i]
	at := func(field string) string { return fmt.Sprintf("kinds[%d].%s", i, field) }
	return []fault{
		{!namePattern.MatchString(k.Name), at("name"), "want a lower-case name"},
		{c.Kind(k.Name) != &c.Kinds[i], at("name"), "stands twice"},
		{!(k.Share > 0 && k.Share <= 1e6), at("share"), "want above 0, at most 1000000"},
		{k.Priority != PriorityOrdinary && k.Priority != PriorityUrgent, at("priority"), "want ordinary or urgent"},
		{k.DeadlineMS < 1 || k.DeadlineMS > maxDeadline, at("deadline_ms"), "want 1 to 600000"},
		{k.Hedge && !k.Idempotent, at("hedge"), "needs idempotent: true"},
	}
}

// lineOf finds the line of a field; a missing field is reported at the nearest
// field above it that stands in the text.
func lineOf(text []byte, path string) int {
	for path != "" {
		if line := lineOfExact(text, path); line > 0 {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return 1
}

func lineOfExact(text []byte, path string) int {
	p, err := yaml.PathString("$." + path)
	if err != nil {
		return 0
	}
	n, err := p.ReadNode(bytes.NewReader(text))
	if err != nil || n.GetToken() == nil {
		return 0
	}
	return n.GetToken().Position.Line
}
