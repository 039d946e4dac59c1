// Package contr defines customers' contracts and the configuration made from them. There is
// one contract per customer, and it determines the customer's limits, shares and priorities.
package contr

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"

	"github.com/goccy/go-yaml"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Priority orders a customer's work within the share that its contract grants.
type Priority string

// The priorities of a kind.
const (
	PriorityOrdinary Priority = "ordinary"
	PriorityUrgent   Priority = "urgent"
)

// Contract declares what one customer is entitled to.
type Contract struct {
	// Customer is unique among all contracts.
	Customer string `yaml:"customer" json:"customer"`
	// Tokens are the SHA-256 hashes of the customer's bearer tokens, in hex.
	Tokens []string `yaml:"tokens" json:"-"`
	// Share is the customer's weight relative to other customers. It is above zero.
	Share float64 `yaml:"share" json:"share"`
	// FloorSlots is the number of slots up to which the customer has precedence: while it
	// uses fewer, its tasks go ahead of the tasks of customers that have reached their own
	// floor. It is never above CeilingSlots, unless there is no ceiling.
	FloorSlots int `yaml:"floor_slots" json:"floor_slots"`
	// CeilingSlots is the maximum number of slots in use at once, or zero for no ceiling.
	CeilingSlots int `yaml:"ceiling_slots" json:"ceiling_slots"`
	// Rate limits the admission of tasks.
	Rate Rate `yaml:"rate" json:"rate"`
	// Queue is the maximum number of tasks waiting at one entry. It is above zero.
	Queue int `yaml:"queue" json:"queue"`
	// UrgentPercent is the percentage of the customer's share, from 0 to 100, within which
	// its urgent work goes ahead of other customers' work.
	UrgentPercent float64 `yaml:"urgent_percent" json:"urgent_percent"`
	// RetryPercent is the number of retries and hedges allowed per hundred first attempts,
	// from 0 to 100.
	RetryPercent float64 `yaml:"retry_percent" json:"retry_percent"`
	// Kinds is never empty, and its names are unique.
	Kinds []Kind `yaml:"kinds" json:"kinds"`
}

// Rate configures a token bucket.
type Rate struct {
	// PerSecond is above zero.
	PerSecond float64 `yaml:"per_second" json:"per_second"`
	// Burst is at least one.
	Burst float64 `yaml:"burst" json:"burst"`
}

// Kind is a class of a customer's requests.
type Kind struct {
	Name string `yaml:"name" json:"name"`
	// Idempotent kinds may be retried and hedged.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
	// Share is the kind's weight within the contract. It is above zero.
	Share float64 `yaml:"share" json:"share"`
	// Priority is never empty after Parse.
	Priority Priority `yaml:"priority" json:"priority"`
	// DeadlineMS is the maximum time that a caller waits. It is above zero.
	DeadlineMS int64 `yaml:"deadline_ms" json:"deadline_ms"`
	// Hedge is true only if Idempotent is.
	Hedge bool `yaml:"hedge" json:"hedge"`
}

// Deadline returns the maximum time that a caller of k waits.
func (k Kind) Deadline() clock.Millis {
	return clock.Millis(k.DeadlineMS)
}

// Kind returns the kind with the given name, or nil.
func (c *Contract) Kind(name string) *Kind {
	for i := range c.Kinds {
		if c.Kinds[i].Name == name {
			return &c.Kinds[i]
		}
	}
	return nil
}

// FieldError reports an invalid or missing field in a contract's text.
type FieldError struct {
	File   string
	Line   int
	Field  string
	Reason string
}

// Error returns the reason, preceded by the file, the line and the field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Reason)
}

// MaxTextBytes is the largest size of a contract's text, so that a document fits into one record of
// the log.
const MaxTextBytes = 64 << 10

const (
	maxKinds      = 64
	maxDeadlineMS = int64(600_000)
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9_-]{0,62}$`)

// Parse decodes and validates one contract. Errors refer to the text by the name file. A
// value that violates a constraint is reported as a *FieldError, and a text that can't be
// decoded as a *TextError.
func Parse(file string, text []byte) (*Contract, error) {
	c, err := decode(file, text)
	if err != nil {
		return nil, err
	}
	if violated := c.violated(); len(violated) > 0 {
		return nil, newFieldError(file, NewLocator(text), violated[0])
	}
	return c, nil
}

// ParseAll is like Parse, but returns an error for each violated constraint. The contract is
// nil only if the text can't be decoded.
func ParseAll(file string, text []byte) (*Contract, []error) {
	c, err := decode(file, text)
	if err != nil {
		return nil, []error{err}
	}
	var errs []error
	l := NewLocator(text)
	for _, ct := range c.violated() {
		errs = append(errs, newFieldError(file, l, ct))
	}
	return c, errs
}

func newFieldError(file string, l *Locator, ct constraint) error {
	return &FieldError{File: file, Line: l.Line(ct.path), Field: ct.path, Reason: ct.reason}
}

// decode decodes a contract and sets defaults, but does not check constraints.
func decode(file string, text []byte) (*Contract, error) {
	if err := checkText(file, text); err != nil {
		return nil, err
	}
	c := &Contract{}
	d := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := d.Decode(c); err != nil {
		return nil, newTextError(file, text, err)
	}
	c.setDefaults()
	return c, nil
}

func (c *Contract) setDefaults() {
	for i := range c.Kinds {
		if c.Kinds[i].Priority == "" {
			c.Kinds[i].Priority = PriorityOrdinary
		}
	}
}

// constraint is the result of checking one constraint on a field.
type constraint struct {
	violated bool
	path     string
	reason   string
}

// violated returns the constraints that the contract violates.
func (c *Contract) violated() []constraint {
	constraints := c.constraints()
	for i := range c.Kinds {
		constraints = append(constraints, c.kindConstraints(i)...)
	}
	return slices.DeleteFunc(constraints, func(ct constraint) bool { return !ct.violated })
}

// constraints returns the constraints on the contract's fields, except those of its kinds.
// Conditions on floats are negated ranges, so that NaN violates them.
func (c *Contract) constraints() []constraint {
	cs := []constraint{
		{!namePattern.MatchString(c.Customer), "customer", "want a lower-case name"},
		{len(c.Tokens) == 0, "tokens", "want at least one sha-256 hash"},
		{!(c.Share > 0 && c.Share <= 1e6), "share", "want above 0, at most 1000000"},
		{c.FloorSlots < 0, "floor_slots", "want 0 or more"},
		{c.CeilingSlots < 0, "ceiling_slots", "want 0 or more"},
		{c.CeilingSlots > 0 && c.FloorSlots > c.CeilingSlots, "floor_slots", "is above ceiling_slots; want at most ceiling_slots"},
		{!(c.Rate.PerSecond > 0 && c.Rate.PerSecond <= 1e6), "rate.per_second", "want above 0, at most 1000000"},
		{!(c.Rate.Burst >= 1 && c.Rate.Burst <= 1e6), "rate.burst", "want 1 to 1000000"},
		{c.Queue < 1 || c.Queue > 1e6, "queue", "want 1 to 1000000"},
		{!(c.UrgentPercent >= 0 && c.UrgentPercent <= 100), "urgent_percent", "want 0 to 100"},
		{!(c.RetryPercent >= 0 && c.RetryPercent <= 100), "retry_percent", "want 0 to 100"},
		{len(c.Kinds) == 0 || len(c.Kinds) > maxKinds, "kinds", "want 1 to 64 kinds"},
	}
	for i, t := range c.Tokens {
		b, err := hex.DecodeString(t)
		cs = append(cs, constraint{err != nil || len(b) != 32, fmt.Sprintf("tokens[%d]", i), "want a sha-256 hash in hex"})
	}
	return cs
}

// kindConstraints returns the constraints on the fields of the kind with index i.
func (c *Contract) kindConstraints(i int) []constraint {
	k := c.Kinds[i]
	field := func(name string) string { return fmt.Sprintf("kinds[%d].%s", i, name) }
	return []constraint{
		{!namePattern.MatchString(k.Name), field("name"), "want a lower-case name"},
		{c.Kind(k.Name) != &c.Kinds[i], field("name"), "stands twice; want unique names"},
		{!(k.Share > 0 && k.Share <= 1e6), field("share"), "want above 0, at most 1000000"},
		{k.Priority != PriorityOrdinary && k.Priority != PriorityUrgent, field("priority"), "want ordinary or urgent"},
		{k.DeadlineMS < 1 || k.DeadlineMS > maxDeadlineMS, field("deadline_ms"), "want 1 to 600000"},
		{k.Hedge && !k.Idempotent, field("hedge"), "needs idempotent: true; want hedge: false otherwise"},
	}
}
