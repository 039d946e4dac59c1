package entry

import (
	"io"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/turmericbarrow/turmericbarrow/internal/disp"
	"github.com/turmericbarrow/turmericbarrow/internal/grant"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/roster"
	"github.com/turmericbarrow/turmericbarrow/internal/route"
)

// State is the dump of an entry's state for operators. Its JSON names are stable.
type State struct {
	Self              host.Host        `json:"self"`
	Phase             string           `json:"phase"`
	CertificateExpiry time.Time        `json:"certificate_expiry"`
	ConfigVersion     int64            `json:"config_version"`
	ConfigVersions    map[string]int64 `json:"config_versions"`
	Log               LogState         `json:"log"`
	Grants            GrantState       `json:"grants"`
	Upstreams         []route.Upstream `json:"upstreams"`
	DrainedZones      []string         `json:"drained_zones"`
	DrainedUpstreams  int              `json:"drained_upstreams"`
	Entries           []roster.Member  `json:"entries"`
	Agents            []host.Host      `json:"agents"`
	QueuedTasks       int              `json:"waiting"`
	Keys              int              `json:"keys"`
	AnswerBytes       int              `json:"answer_bytes"`
	Counters          disp.Counters    `json:"figures"`
}

// LogState describes the entry's two streams of the platform's log: whether the last read
// succeeded, and the offset of the last record applied.
type LogState struct {
	GrantsReadable bool  `json:"grants_readable"`
	ConfigReadable bool  `json:"config_readable"`
	GrantsApplied  int64 `json:"grants_applied"`
	ConfigApplied  int64 `json:"config_applied"`
}

// GrantState describes the entry's grants: whether its ledger is complete, the number of
// key ranges that it holds now, and how far ahead of the clock it claims key time.
type GrantState struct {
	Initialized bool  `json:"based"`
	HeldRanges  int   `json:"ranges"`
	DurationMS  int64 `json:"horizon_ms"`
}

var phaseNames = map[phase]string{
	phaseServing:  "serving",
	phaseLeaving:  "leaving",
	phaseDraining: "draining",
}

func (e *Entry) state() State {
	s := State{
		Self:              e.settings.Self,
		Phase:             phaseNames[e.phase],
		CertificateExpiry: e.settings.CertificateExpiry,
		ConfigVersion:     e.config.Version,
		ConfigVersions:    e.configVersions(),
		Log: LogState{
			GrantsReadable: e.platformLog.grants.readable,
			ConfigReadable: e.platformLog.config.readable,
			GrantsApplied:  e.disp.Ledger.Applied,
			ConfigApplied:  e.config.Applied,
		},
		Grants: GrantState{
			Initialized: e.disp.Ledger.Initialized,
			HeldRanges:  e.heldRanges(),
			DurationMS:  int64(e.disp.GrantDurationMS),
		},
		DrainedZones:     slices.Clone(e.config.Drains.Zones),
		DrainedUpstreams: e.disp.UpstreamsInDrainedZones(),
		Entries:          e.disp.Roster.Up(e.clock.Now()),
		QueuedTasks:      e.disp.Queue.Len(),
		Keys:             e.disp.KeyTable.Len(),
		AnswerBytes:      e.disp.KeyTable.AnswerBytes,
		Counters:         e.disp.Counters,
	}
	for _, u := range e.disp.Fleet.All() {
		s.Upstreams = append(s.Upstreams, u.Copy())
	}
	for _, a := range e.agents {
		s.Agents = append(s.Agents, a.link.Peer)
	}
	return s
}

// configVersions returns the configuration version in force in this process and in each
// linked agent and entry, by host name.
func (e *Entry) configVersions() map[string]int64 {
	v := map[string]int64{e.settings.Self.Name: e.config.Version}
	for _, a := range e.agents {
		v[a.link.Peer.Name] = a.configVersion
	}
	for _, p := range e.entryStates {
		v[p.Name] = p.ConfigVersion
	}
	return v
}

func (e *Entry) heldRanges() int {
	n := 0
	for r := grant.Range(0); r < grant.RangeCount; r++ {
		if e.disp.Ledger.Holder(r) == e.settings.Self.Incarnation {
			n++
		}
	}
	return n
}

func writeMetrics(w io.Writer, s State) {
	set := metrics.NewSet()
	gauge := func(name string, v float64) {
		set.NewGauge("turmericbarrow_"+name, func() float64 { return v })
	}
	counter := func(name string, v uint64) {
		set.NewCounter("turmericbarrow_" + name).Set(v)
	}
	gauge("config_version", float64(s.ConfigVersion))
	gauge("certificate_expiry_seconds", float64(s.CertificateExpiry.Unix()))
	gauge("entry_waiting", float64(s.QueuedTasks))
	gauge("entry_keys", float64(s.Keys))
	gauge("entry_answer_bytes", float64(s.AnswerBytes))
	gauge("entry_upstreams", float64(len(s.Upstreams)))
	gauge("entry_zones_drained", float64(len(s.DrainedZones)))
	gauge("entry_upstreams_drained", float64(s.DrainedUpstreams))
	gauge("entry_ranges_held", float64(s.Grants.HeldRanges))
	gauge("entry_log_readable", boolGauge(s.Log.GrantsReadable && s.Log.ConfigReadable))
	counter("submitted_total", s.Counters.Submitted)
	counter("answered_total", s.Counters.Answered)
	counter("refused_total", s.Counters.Refused)
	counter("started_total", s.Counters.Started)
	counter("retried_total", s.Counters.Retried)
	counter("hedged_total", s.Counters.Hedged)
	counter("messages_total", s.Counters.Messages)
	counter("wasted_total", s.Counters.Wasted)
	set.WritePrometheus(w)
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
