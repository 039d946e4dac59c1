package slot

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
)

// CacheLimits bounds what an agent remembers of recent tasks.
type CacheLimits struct {
	MaxAge   clock.Millis
	MaxTasks int
	MaxBytes int
}

// CachedTask is one task of a key that was started here.
type CachedTask struct {
	Index    int
	Complete bool
	Result   reply.Result
}

type keepKey struct {
	customer string
	key      string
	index    int
}

type keyOfTasks struct {
	customer string
	key      string
}

func keepKeyOf(t Task) keepKey {
	return keepKey{customer: t.Customer, key: t.Key, index: t.Index}
}

// ResultCache remembers recent tasks, so that an entry can ask for an answer whose own
// entry is gone. What it has forgotten is answered as unknown, never as not run.
type ResultCache struct {
	Limits CacheLimits
	// Bytes is the sum over all results held.
	Bytes int

	tasks map[keepKey]*keptTask
	byKey map[keyOfTasks]map[int]bool
	order []keepKey
}

type keptTask struct {
	startedAt clock.Millis
	complete  bool
	result    reply.Result
}

// NewResultCache returns an empty memory.
func NewResultCache(l CacheLimits) *ResultCache {
	return &ResultCache{Limits: l, tasks: map[keepKey]*keptTask{}, byKey: map[keyOfTasks]map[int]bool{}}
}

// RecordStart remembers a task that starts.
func (k *ResultCache) RecordStart(key keepKey, now clock.Millis) {
	if _, again := k.tasks[key]; again {
		return
	}
	k.tasks[key] = &keptTask{startedAt: now}
	k.order = append(k.order, key)
	of := keyOfTasks{key.customer, key.key}
	if k.byKey[of] == nil {
		k.byKey[of] = map[int]bool{}
	}
	k.byKey[of][key.index] = true
	k.shrink()
}

// RecordResult remembers a task's whole answer; a failure is not one.
func (k *ResultCache) RecordResult(key keepKey, o Outcome) {
	t := k.tasks[key]
	if t == nil || t.complete || o.Status != StatusOK {
		return
	}
	t.complete = true
	t.result = o.Result
	k.Bytes += len(o.Result.Body)
	k.shrink()
}

// Find returns the tasks of a key.
func (k *ResultCache) Find(customer, key string) []CachedTask {
	var out []CachedTask
	for index := range k.byKey[keyOfTasks{customer, key}] {
		t := k.tasks[keepKey{customer, key, index}]
		out = append(out, CachedTask{Index: index, Complete: t.complete, Result: t.result})
	}
	return out
}

// Expire forgets tasks that have left the window.
func (k *ResultCache) Expire(now clock.Millis) {
	for len(k.order) > 0 && now-k.tasks[k.order[0]].startedAt > k.Limits.MaxAge {
		k.forgetOldest()
	}
}

func (k *ResultCache) shrink() {
	for len(k.order) > 0 && (k.Bytes > k.Limits.MaxBytes || len(k.order) > k.Limits.MaxTasks) {
		k.forgetOldest()
	}
}

func (k *ResultCache) forgetOldest() {
	key := k.order[0]
	k.order = k.order[1:]
	if t := k.tasks[key]; t.complete {
		k.Bytes -= len(t.result.Body)
	}
	delete(k.tasks, key)
	of := keyOfTasks{key.customer, key.key}
	delete(k.byKey[of], key.index)
	if len(k.byKey[of]) == 0 {
		delete(k.byKey, of)
	}
}
