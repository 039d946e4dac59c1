package slot

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
)

// CacheLimits bounds the tasks and results that a ResultCache keeps.
type CacheLimits struct {
	// MaxAge is how long a task is kept after its start.
	MaxAge   clock.Millis
	MaxTasks int
	MaxBytes int
}

// CachedTask is a task that this agent started, found by its idempotency key.
type CachedTask struct {
	Index int
	// Complete is set once the task has succeeded, and Result is set with it.
	Complete bool
	Result   reply.Result
}

// cacheKey identifies one task of a request.
type cacheKey struct {
	customer string
	key      string
	index    int
}

// requestKey identifies a request, which may have several tasks.
type requestKey struct {
	customer string
	key      string
}

func cacheKeyFor(t Task) cacheKey {
	return cacheKey{customer: t.Customer, key: t.Key, index: t.Index}
}

// ResultCache keeps recent tasks and their results, so that an entry can look up the
// result of a task whose own entry has gone. A missing task may have been evicted: its
// outcome is unknown, and its absence never means that it did not run.
type ResultCache struct {
	Limits CacheLimits
	// Bytes is the total size of the result bodies in the cache.
	Bytes int

	records   map[cacheKey]*cacheRecord
	byRequest map[requestKey]map[int]bool
	// order lists the keys of records, oldest first.
	order []cacheKey
}

type cacheRecord struct {
	startedAt clock.Millis
	complete  bool
	result    reply.Result
}

// NewResultCache returns an empty cache.
func NewResultCache(l CacheLimits) *ResultCache {
	return &ResultCache{Limits: l, records: map[cacheKey]*cacheRecord{}, byRequest: map[requestKey]map[int]bool{}}
}

// RecordStart adds a task that starts; a task already in the cache stays as it is.
func (c *ResultCache) RecordStart(key cacheKey, now clock.Millis) {
	if _, exists := c.records[key]; exists {
		return
	}
	c.records[key] = &cacheRecord{startedAt: now}
	c.order = append(c.order, key)
	request := requestKey{key.customer, key.key}
	if c.byRequest[request] == nil {
		c.byRequest[request] = map[int]bool{}
	}
	c.byRequest[request][key.index] = true
	c.enforceLimits()
}

// RecordResult stores the result of a successful task. Other outcomes are not cached.
func (c *ResultCache) RecordResult(key cacheKey, o Outcome) {
	r := c.records[key]
	if r == nil || r.complete || o.Status != StatusOK {
		return
	}
	r.complete = true
	r.result = o.Result
	c.Bytes += len(o.Result.Body)
	c.enforceLimits()
}

// Find returns the cached tasks of a customer's idempotency key.
func (c *ResultCache) Find(customer, key string) []CachedTask {
	var tasks []CachedTask
	for index := range c.byRequest[requestKey{customer, key}] {
		r := c.records[cacheKey{customer, key, index}]
		tasks = append(tasks, CachedTask{Index: index, Complete: r.complete, Result: r.result})
	}
	return tasks
}

// Expire evicts the tasks that started longer ago than Limits.MaxAge.
func (c *ResultCache) Expire(now clock.Millis) {
	for len(c.order) > 0 && now-c.records[c.order[0]].startedAt > c.Limits.MaxAge {
		c.evictOldest()
	}
}

func (c *ResultCache) enforceLimits() {
	for len(c.order) > 0 && (c.Bytes > c.Limits.MaxBytes || len(c.order) > c.Limits.MaxTasks) {
		c.evictOldest()
	}
}

func (c *ResultCache) evictOldest() {
	key := c.order[0]
	c.order = c.order[1:]
	if r := c.records[key]; r.complete {
		c.Bytes -= len(r.result.Body)
	}
	delete(c.records, key)
	request := requestKey{key.customer, key.key}
	delete(c.byRequest[request], key.index)
	if len(c.byRequest[request]) == 0 {
		delete(c.byRequest, request)
	}
}
