// Package limit enforces the rate limits of contracts. Each process has a token
// bucket with the customer's whole rate and subtracts the tasks that, according to
// the reports it receives, other entries have started, so no central counter is
// needed. While no such reports arrive, a customer gets at most its rate times the
// number of entries. The package does no I/O and reads no clock.
package limit

import (
	"math"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
)

// Bucket is the token bucket of one customer.
type Bucket struct {
	// Tokens is never above the burst. It becomes negative when other entries started
	// more tasks than there were tokens, but is never below minus one burst.
	Tokens float64
	Rate   contr.Rate
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

// New returns a limiter with no contracts.
func New() *Limiter {
	return &Limiter{buckets: map[string]*Bucket{}}
}

// SetContract applies a contract's rate. A customer that already has a bucket keeps
// its tokens, up to the new burst.
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

// RemoveContract removes a customer's bucket; Take then admits none of its tasks.
func (l *Limiter) RemoveContract(customer string) {
	delete(l.buckets, customer)
}

// Take admits either all n tasks or none. If it admits none, it returns the time until
// it could admit them, or a negative time if that is impossible because n exceeds the
// burst or the customer has no contract.
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

// TakeRemote subtracts the tokens of n tasks that other entries started.
func (l *Limiter) TakeRemote(customer string, n int, now clock.Millis) {
	b, ok := l.buckets[customer]
	if !ok {
		return
	}
	b.refill(now)
	b.Tokens = max(b.Tokens-float64(n), -b.Rate.Burst)
}
