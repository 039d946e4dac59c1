package check

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/turmericbarrow/turmericbarrow/internal/contr"
)

var contractRules = []contractRule{
	{Rule{"token_twice", "both lines stand for one token"}, findTokenTwice},
	{Rule{"token_empty", "no caller has the token; requests without one are refused"}, findTokenEmpty},
	{Rule{"queue_below_job", "jobs that entries would take are refused as never running"}, findQueueBelowJob},
	{Rule{"burst_below_job", "jobs that entries would take are refused as never running"}, findBurstBelowJob},
	{Rule{"urgent_percent_unused", "the percentage has no effect without an urgent kind"}, findUrgentPercentUnused},
	{Rule{"urgent_kind_ordinary", "an urgent kind is treated as ordinary without a percentage"}, findUrgentKindOrdinary},
	{Rule{"hedge_without_retries", "the retry budget is empty, so nothing is hedged"}, findHedgeWithoutRetries},
	{Rule{"retries_unused", "only requests of idempotent kinds are retried"}, findRetriesUnused},
	{Rule{"kind_unserved", "requests of the kind are refused while no upstream serves it"}, findKindUnserved},
	{Rule{"deadline_below_service", "requests are refused as they can't meet their deadline"}, findDeadlineBelowService},
}

// floorsOverSlots concerns all contracts together and the slots of all upstreams.
var floorsOverSlots = Rule{"floors_over_slots", "not every customer can have its floor at once"}

// emptyTokenHash is the hash that results from hashing an empty text instead of a token.
var emptyTokenHash = func() string {
	sum := sha256.Sum256(nil)
	return hex.EncodeToString(sum[:])
}()

func findTokenTwice(c *contr.Contract, _ Facts) []hit {
	var hits []hit
	first := map[string]int{}
	for i, t := range c.Tokens {
		t = strings.ToLower(t)
		if j, seen := first[t]; seen {
			hits = append(hits, hit{tokenField(i), fmt.Sprintf("is the same token as `%s`", tokenField(j)), "each token once"})
			continue
		}
		first[t] = i
	}
	return hits
}

func findTokenEmpty(c *contr.Contract, _ Facts) []hit {
	var hits []hit
	for i, t := range c.Tokens {
		if strings.EqualFold(t, emptyTokenHash) {
			hits = append(hits, hit{tokenField(i), "is the hash of an empty text", "the hash of a token"})
		}
	}
	return hits
}

func tokenField(i int) string { return fmt.Sprintf("tokens[%d]", i) }

func kindField(i int, name string) string { return fmt.Sprintf("kinds[%d].%s", i, name) }

func findQueueBelowJob(c *contr.Contract, f Facts) []hit {
	if c.Queue >= f.MaxJobTasks {
		return nil
	}
	return []hit{{"queue", fmt.Sprintf("%d is below the widest job that entries take, %d tasks", c.Queue, f.MaxJobTasks), fmt.Sprintf("%d or more", f.MaxJobTasks)}}
}

func findBurstBelowJob(c *contr.Contract, f Facts) []hit {
	if c.Rate.Burst >= float64(f.MaxJobTasks) {
		return nil
	}
	return []hit{{"rate.burst", fmt.Sprintf("%g is below the widest job that entries take, %d tasks", c.Rate.Burst, f.MaxJobTasks), fmt.Sprintf("%d or more", f.MaxJobTasks)}}
}

func findUrgentPercentUnused(c *contr.Contract, _ Facts) []hit {
	if c.UrgentPercent <= 0 {
		return nil
	}
	for _, k := range c.Kinds {
		if k.Priority != contr.PriorityOrdinary {
			return nil
		}
	}
	return []hit{{"urgent_percent", "no kind is urgent", "0, or a kind with `priority: urgent`"}}
}

func findUrgentKindOrdinary(c *contr.Contract, _ Facts) []hit {
	if c.UrgentPercent != 0 {
		return nil
	}
	var hits []hit
	for i, k := range c.Kinds {
		if k.Priority == contr.PriorityUrgent {
			hits = append(hits, hit{kindField(i, "priority"), "`urgent_percent` is 0", "an `urgent_percent` above 0, or `priority: ordinary`"})
		}
	}
	return hits
}

func findHedgeWithoutRetries(c *contr.Contract, _ Facts) []hit {
	if c.RetryPercent != 0 {
		return nil
	}
	var hits []hit
	for i, k := range c.Kinds {
		if k.Hedge {
			hits = append(hits, hit{kindField(i, "hedge"), "`retry_percent` is 0", "a `retry_percent` above 0, or hedge: false"})
		}
	}
	return hits
}

func findRetriesUnused(c *contr.Contract, _ Facts) []hit {
	if c.RetryPercent <= 0 {
		return nil
	}
	for _, k := range c.Kinds {
		if k.Idempotent {
			return nil
		}
	}
	return []hit{{"retry_percent", "no kind is idempotent", "0, or a kind with `idempotent: true`"}}
}

func findKindUnserved(c *contr.Contract, f Facts) []hit {
	if f.Kinds == nil {
		return nil
	}
	var hits []hit
	for i, k := range c.Kinds {
		if !f.Kinds[k.Name] {
			hits = append(hits, hit{kindField(i, "name"), fmt.Sprintf("no upstream serves %q", k.Name), "a kind that an upstream serves"})
		}
	}
	return hits
}

func findDeadlineBelowService(c *contr.Contract, f Facts) []hit {
	var hits []hit
	for i, k := range c.Kinds {
		if mean := f.ServiceMS[k.Name]; float64(k.DeadlineMS) < mean {
			hits = append(hits, hit{kindField(i, "deadline_ms"), fmt.Sprintf("%d ms is below the mean service time at the fastest upstream, %.0f ms", k.DeadlineMS, mean), "a deadline above the service time"})
		}
	}
	return hits
}

// checkTogether warns if the floors of all customers that would be in force add up to more
// than the slots. The warning is on the file with the highest floor.
func checkTogether(config *contr.Config, files []contractFile, facts Facts, r *Report) {
	sum := 0
	for _, c := range config.Contracts {
		sum += c.FloorSlots
	}
	var highest *contractFile
	for i := range files {
		f := &files[i]
		if f.valid && f.contract.FloorSlots > 0 && (highest == nil || f.contract.FloorSlots > highest.contract.FloorSlots) {
			highest = f
		}
	}
	if facts.Slots == 0 || sum <= facts.Slots || highest == nil {
		return
	}
	r.Add(highest.warning(floorsOverSlots, hit{"floor_slots", fmt.Sprintf("the floors of all customers add up to %d slots, and the upstreams have %d", sum, facts.Slots),
		fmt.Sprintf("floors that add up to at most %d", facts.Slots)}))
}
