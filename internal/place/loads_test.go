package place

import (
	"fmt"
	"math"
	"os"
	"testing"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Loads for the fleet replay, beside the one at seven tenths of the capacity.

const (
	loadEntries = 14
	loadAgents  = 60
	// burstReplayMS includes the whole burst and three seconds after it.
	burstReplayMS = burstTo + 3000
	// burstCapacityFraction is the arriving work during a burst, as a fraction of the capacity,
	// and burstBaseFraction that before and after it.
	burstCapacityFraction = 1.7
	burstBaseFraction     = 0.7
)

// namedLoad is a load of the fleet replay.
type namedLoad struct {
	name  string
	kinds []jobKind
	until clock.Millis
}

// fleetLoads returns the loads at fractions of the processor capacity and a burst of each kind.
// A worker has places for four tasks of 3.8 of its 16 cores, and the mean of the drawn run times
// is above their median: 0.7 of the processor capacity is 0.87 of the places, 0.9 is 1.12.
func fleetLoads() []namedLoad {
	loads := []namedLoad{
		{"0.3", fleetKinds(loadAgents, 0.3), fleetReplayMS},
		{"0.5", fleetKinds(loadAgents, 0.5), fleetReplayMS},
		{"0.7", fleetKinds(loadAgents, 0.7), fleetReplayMS},
		{"0.9", fleetKinds(loadAgents, 0.9), fleetReplayMS},
	}
	for k := range fleetKinds(loadAgents, burstBaseFraction) {
		kinds := fleetKinds(loadAgents, burstBaseFraction)
		kinds[k].burst = burstFactor(kinds, k)
		loads = append(loads, namedLoad{"burst-" + kinds[k].name, kinds, burstReplayMS})
	}
	return loads
}

// burstFactor returns the factor of the rate of one kind with which the arriving work is
// burstCapacityFraction of the capacity.
func burstFactor(kinds []jobKind, k int) float64 {
	work := func(kd jobKind) float64 { return float64(kd.tasks) * kd.workMS * kd.perSecond }
	total := 0.0
	for _, kd := range kinds {
		total += work(kd)
	}
	return 1 + (burstCapacityFraction-burstBaseFraction)/burstBaseFraction*total/work(kinds[k])
}

// fractionOfPlaces returns the arriving work as a fraction of what the places of a fleet can run.
func fractionOfPlaces(agents int, kinds []jobKind) float64 {
	work := 0.0
	for _, kd := range kinds {
		work += float64(kd.tasks) * kd.workMS * kd.perSecond * math.Exp(logStdDev*logStdDev/2)
	}
	meanSpeed := 0.25*0.55 + 0.75*1.2
	return work / (float64(agents) * float64(fleetWorkerCPUs*1000/fleetTaskCPU) * meanSpeed * 1000)
}

// figuresVariable enables the replays that only print figures, which take half a minute.
const figuresVariable = "FLEET_FIGURES"

// Prints the figures of docs/design/offers.md.
func TestFiguresOfFleetLoads(t *testing.T) {
	if os.Getenv(figuresVariable) == "" {
		t.Skip("set " + figuresVariable + " to print the figures")
	}
	for _, l := range fleetLoads() {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			places := fractionOfPlaces(loadAgents, l.kinds)
			for seed := range uint64(8) {
				off, load := playFleetKinds(loadEntries, loadAgents, l.kinds, l.until, seed, false)
				on, _ := playFleetKinds(loadEntries, loadAgents, l.kinds, l.until, seed, true)
				one, _ := playFleetKinds(1, loadAgents, l.kinds, l.until, seed, false)
				for name, f := range map[string]*fleetReplay{"off": off, "on": on, "one-entry": one} {
					t.Logf("load %s (%.2f of the places) seed %d %s: %s", l.name, places, seed, name, f.figures(len(load)))
				}
			}
		})
	}
}

// figures returns what became of a load of the given number of jobs.
func (f *fleetReplay) figures(load int) string {
	n := float64(load)
	out := fmt.Sprintf("in time %.3f, late %.3f, refused %.3f, returned runs a job %.2f",
		float64(f.inTime)/n, float64(f.late)/n, float64(f.refused)/n, float64(f.returned)/n)
	if f.offers != nil {
		entrySeconds := float64(f.until) / float64(clock.Second) * float64(len(f.entries))
		agentSeconds := float64(f.until) / float64(clock.Second) * float64(len(f.agents))
		out += fmt.Sprintf(", notices a second and entry %.0f, offers a second and agent %.1f, used %.1f, reports left out %.1f",
			float64(f.offers.notices)/entrySeconds, float64(f.offers.offers)/agentSeconds,
			float64(f.offers.used)/agentSeconds, float64(f.offers.leftOut)/agentSeconds)
	}
	return out
}
