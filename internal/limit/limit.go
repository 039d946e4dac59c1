// Package limit holds the rate limits of contracts. Each process counts the whole
// rate of a customer and takes out what it learns that others admitted, so there
// is no central counter. While entries can't hear of each other, a customer can
// have at most the number of entries times its rate. The package does no I/O and
// reads no clock.
package limit

import (
	"math"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
)

// Bucket limits the rate of one contract.
type Bucket struct {
	// Tokens is never above the burst. It goes below zero when others admitted
	// more than was left, at most to minus one burst.
	Tokens float64
	// Rate is the contract's.
	Rate contr.Rate
	// UpdatedAt never decreases.
	UpdatedAt clock.Millis
}

func (b *Bucket) refill(now clock.Millis) {
	if now <= b.UpdatedAt {
		return
	}
	b.Tokens += float64(now-b.UpdatedAt) * b.Rate.PerSecond / float64(clock.Second)
	b.Tokens = min(b.Tokens, b.Rate.Burst)
	b.UpdatedAt = now
}

// Limiter holds the buckets of all customers.
type Limiter struct {
	buckets map[string]*Bucket
}

// New returns a limiter without contracts.
func New() *Limiter {
	return &Limiter{buckets: map[string]*Bucket{}}
}

// SetContract puts a contract's rate in force. Tokens in hand are kept.
func (l *Limiter) SetContract(c *contr.Contract, now clock.Millis) {
	b, ok := l.buckets[c.Customer]
	if !ok {
		l.buckets[c.Customer] = &Bucket{Tokens: c.Rate.Burst, Rate: c.Rate, UpdatedAt: now}
		return
	}
	b.refill(now)
	b.Rate = c.Rate
	b.Tokens = min(b.Tokens, b.Rate.Burst)
}

// RemoveContract forgets a customer.
func (l *Limiter) RemoveContract(customer string) {
	delete(l.buckets, customer)
}

// Take admits n tasks whole or not at all. When it refuses it returns how long to
// wait; a negative wait says that n is above the burst and never fits.
func (l *Limiter) Take(customer string, n int, now clock.Millis) (bool, clock.Millis) {
	b, ok := l.buckets[customer]
	if !ok {
		return false, -1
	}
	b.refill(now)
	need := float64(n)
	if need > b.Rate.Burst {
		return false, -1
	}
	if b.Tokens >= need {
		b.Tokens -= need
		return true, 0
	}
	wait := (need - b.Tokens) * float64(clock.Second) / b.Rate.PerSecond
	return false, clock.Millis(math.Ceil(wait))
}

// TakeRemote counts n tasks that other entries started.
func (l *Limiter) TakeRemote(customer string, n int, now clock.Millis) {
	b, ok := l.buckets[customer]
	if !ok {
		return
	}
	b.refill(now)
	b.Tokens = max(b.Tokens-float64(n), -b.Rate.Burst)
}
