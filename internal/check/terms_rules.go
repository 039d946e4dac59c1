package check

import (
	"fmt"
	"strings"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
)

var termsRules = []termsRule{
	{Rule{"queue_hidden", "of equal prefixes of a host the first takes all jobs"}, findQueueHidden},
	{Rule{"queue_part_hidden", "jobs whose id begins like the longer prefix are answered 404"}, findQueuePartHidden},
	{Rule{"host_unusable", "requests name a host, which is compared without its port"}, findHostUnusable},
	{Rule{"prefix_unusable", "each path begins with a slash, and a job's path is the prefix and the id"}, findPrefixUnusable},
	{Rule{"queue_twice", "run times are learned, and waiting jobs counted, by name"}, findQueueTwice},
	{Rule{"fleet_twice", "workers belong to a fleet by its name"}, findFleetTwice},
	{Rule{"fleet_unknown", "jobs are refused unless workers announce themselves for the name"}, findFleetUnknown},
	{Rule{"fleet_unused", "no job reaches the fleet's workers"}, findFleetUnused},
	{Rule{"timeout_below_objective", "callers leave before a job is late"}, findTimeoutBelowObjective},
	{Rule{"attempts_over_timeout", "callers leave before the last attempt"}, findAttemptsOverTimeout},
	{Rule{"stretch_below_one", "a stretch below 1 is used as 1"}, findStretchBelowOne},
}

// minAttemptMS is the least time in which a failed attempt is noticed and repeated: an agent
// learns of ended runs by polls, which it sends at intervals of this length or more.
const minAttemptMS clock.Millis = 20

// jobIDDigits is the length of a job's id, which consists of lower-case hex digits and follows
// the prefix in a job's path.
const jobIDDigits = 16

const hexDigits = "0123456789abcdef"

// address is what selects a queue.
type address struct {
	host   string
	prefix string
}

func queueField(i int, name string) string { return fmt.Sprintf("queues[%d].%s", i, name) }

func fleetField(i int, name string) string { return fmt.Sprintf("fleets[%d].%s", i, name) }

// firstByAddress returns the first queue of each address, which is the one that is used.
func firstByAddress(t *contr.Terms) map[address]int {
	out := make(map[address]int, len(t.Queues))
	for i, q := range t.Queues {
		a := address{q.Host, q.Prefix}
		if _, taken := out[a]; !taken {
			out[a] = i
		}
	}
	return out
}

func findQueueHidden(t *contr.Terms) []hit {
	var hits []hit
	first := firstByAddress(t)
	for i, q := range t.Queues {
		if j := first[address{q.Host, q.Prefix}]; j != i {
			hits = append(hits, hit{queueField(i, "prefix"), fmt.Sprintf("`queues[%d]`, %q, has the same host and prefix and stands before it", j, t.Queues[j].Name), "another prefix, or only one of the two"})
		}
	}
	return hits
}

// findQueuePartHidden warns of queues for which the longer prefix of another takes some jobs: those
// whose id begins with the hex digits by which that prefix is longer. The shorter prefixes of each
// queue are looked up by address, because comparing all pairs takes quadratic time.
func findQueuePartHidden(t *contr.Terms) []hit {
	var hits []hit
	first := firstByAddress(t)
	for j, q := range t.Queues {
		if first[address{q.Host, q.Prefix}] != j {
			continue
		}
		for n := 1; n <= min(jobIDDigits, len(q.Prefix)); n++ {
			cut := len(q.Prefix) - n
			if !strings.Contains(hexDigits, q.Prefix[cut:cut+1]) {
				break
			}
			i, exists := first[address{q.Host, q.Prefix[:cut]}]
			if exists {
				hits = append(hits, hit{queueField(i, "prefix"), fmt.Sprintf("`queues[%d]`, %q, takes its jobs with ids from %s", j, q.Name, q.Prefix[cut:]), "a prefix that ends in a slash for both"})
			}
		}
	}
	return hits
}

func findHostUnusable(t *contr.Terms) []hit {
	var hits []hit
	for i, q := range t.Queues {
		if q.Host == "" || strings.ContainsAny(q.Host, ":/ ") {
			hits = append(hits, hit{queueField(i, "host"), fmt.Sprintf("no request has the host %q", q.Host), "a host name without a port"})
		}
	}
	return hits
}

func findPrefixUnusable(t *contr.Terms) []hit {
	var hits []hit
	for i, q := range t.Queues {
		if !strings.HasPrefix(q.Prefix, "/") {
			hits = append(hits, hit{queueField(i, "prefix"), fmt.Sprintf("no job's path is %q and an id", q.Prefix), "a path that begins with a slash"})
		}
	}
	return hits
}

func findQueueTwice(t *contr.Terms) []hit {
	names := make([]string, 0, len(t.Queues))
	for _, q := range t.Queues {
		names = append(names, q.Name)
	}
	return findTwice(names, queueField)
}

func findFleetTwice(t *contr.Terms) []hit {
	names := make([]string, 0, len(t.Fleets))
	for _, f := range t.Fleets {
		names = append(names, f.Name)
	}
	return findTwice(names, fleetField)
}

// findTwice warns of names that an earlier element of the list has.
func findTwice(names []string, field func(int, string) string) []hit {
	var hits []hit
	first := make(map[string]int, len(names))
	for i, name := range names {
		if j, seen := first[name]; seen {
			hits = append(hits, hit{field(i, "name"), fmt.Sprintf("%q is also the name of number %d of the list, from 0", name, j), "unique names"})
			continue
		}
		first[name] = i
	}
	return hits
}

func findFleetUnknown(t *contr.Terms) []hit {
	known := map[string]bool{}
	for _, f := range t.Fleets {
		known[f.Name] = true
	}
	var hits []hit
	for i, q := range t.Queues {
		if !known[q.Fleet] {
			hits = append(hits, hit{queueField(i, "fleet"), fmt.Sprintf("%q is not listed in `fleets`", q.Fleet), "a name from `fleets`"})
		}
	}
	return hits
}

func findFleetUnused(t *contr.Terms) []hit {
	used := map[string]bool{}
	for _, q := range t.Queues {
		used[q.Fleet] = true
	}
	var hits []hit
	for i, f := range t.Fleets {
		if !used[f.Name] {
			hits = append(hits, hit{fleetField(i, "name"), fmt.Sprintf("nothing in `queues` refers to %q", f.Name), "a name that `queues` refer to"})
		}
	}
	return hits
}

func findTimeoutBelowObjective(t *contr.Terms) []hit {
	var hits []hit
	for i, q := range t.Queues {
		if q.TimeoutMS > 0 && q.TimeoutMS < q.SlackMS {
			hits = append(hits, hit{queueField(i, "timeout_ms"), fmt.Sprintf("%d ms is below `%s`, %d ms, and the objective is longer", q.TimeoutMS, queueField(i, "slack_ms"), q.SlackMS), fmt.Sprintf("above %d", q.SlackMS)})
		}
	}
	return hits
}

func findAttemptsOverTimeout(t *contr.Terms) []hit {
	var hits []hit
	for i, q := range t.Queues {
		if fit := q.TimeoutMS / minAttemptMS; q.TimeoutMS > 0 && clock.Millis(q.MaxAttempts) > max(fit, 1) {
			hits = append(hits, hit{queueField(i, "max_attempts"), fmt.Sprintf("%d attempts of at least %d ms do not fit into `%s`, %d ms", q.MaxAttempts, minAttemptMS, queueField(i, "timeout_ms"), q.TimeoutMS), fmt.Sprintf("at most %d", max(fit, 1))})
		}
	}
	return hits
}

func findStretchBelowOne(t *contr.Terms) []hit {
	var hits []hit
	for i, q := range t.Queues {
		if q.Stretch > 0 && q.Stretch < 1 {
			hits = append(hits, hit{queueField(i, "stretch"), fmt.Sprintf("%g is below 1", q.Stretch), "1 or more"})
		}
	}
	return hits
}
