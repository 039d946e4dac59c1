// Package local runs a whole small deployment in one process on loopback: entries,
// agents, sample upstreams and the stand-in of the log. It serves the dev command,
// measurements and tests, and runs the same code as the separate processes.
package local

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"time"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/agent"
	"github.com/turmericbarrow/turmericbarrow/internal/certs"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/disp"
	"github.com/turmericbarrow/turmericbarrow/internal/entry"
	"github.com/turmericbarrow/turmericbarrow/internal/fair"
	"github.com/turmericbarrow/turmericbarrow/internal/fakes"
	"github.com/turmericbarrow/turmericbarrow/internal/grant"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/logsvc"
	"github.com/turmericbarrow/turmericbarrow/internal/naive"
	"github.com/turmericbarrow/turmericbarrow/internal/opapi"
	"github.com/turmericbarrow/turmericbarrow/internal/slot"
	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// Options of a deployment.
type Options struct {
	Entries   int
	Upstreams []fakes.UpstreamSettings
	// Contracts are the YAML texts to apply at the start.
	Contracts [][]byte
	// Baseline serves in order of arrival and routes at random.
	Baseline bool
	Seed     uint64
	// Retention is the most records that a stream of the log holds.
	Retention   int
	RetentionMS clock.Millis
	// Relayed puts a relay between the agents and the entries.
	Relayed bool
	// EntryLinger is how long a draining entry still takes callers.
	EntryLinger clock.Millis
	// LogURL uses a log that runs elsewhere.
	LogURL string
}

// Sizes and times of a local deployment.
const (
	heartbeatMS      = clock.Millis(500)
	silenceMS        = clock.Millis(1800)
	certificateValid = 24 * time.Hour
	defaultRetention = 100_000
	defaultRetentMS  = clock.Millis(3_600_000)
	readyTimeout     = 15 * time.Second
	readyPoll        = 10 * time.Millisecond
	keyWindowMS      = clock.Millis(120_000)
	maxKeys          = 200_000
	maxAnswerBytes   = 64 << 20
	maxBodyBytes     = 1 << 20
	maxJobTasks      = 310
	explainWaitMS    = clock.Millis(20)
	initialHorizonMS = clock.Millis(5_000)
	defaultLingerMS  = clock.Millis(200)
	agentKeepTasks   = 20_000
	zones            = 3
	loopback         = "127.0.0.1:0"
	operatorToken    = ""
)

// Proc is one running process of the deployment.
type Proc struct {
	Name string
	// Stop ends it at once, without a drain.
	Stop context.CancelFunc
	Done chan error
}

// EntryProc is a running entry.
type EntryProc struct {
	Proc
	Entry     *entry.Entry
	Addresses entry.Addresses
	// LinkAddress is the address by which agents reach it: its own or a relay's.
	LinkAddress string
	Relay       *fakes.Relay
}

// AgentProc is a running agent and its upstream.
type AgentProc struct {
	Proc
	Agent    *agent.Agent
	Address  string
	Upstream *fakes.Upstream
	upstream Proc
}

// Stack is a running deployment.
type Stack struct {
	Log     *fakes.Log
	LogURL  string
	Entries []*EntryProc
	Agents  []*AgentProc

	options   Options
	ctx       context.Context
	log       *slog.Logger
	clock     *clock.Clock
	authority certs.Authority
	procs     []Proc
	clients   []*logsvc.Client
	named     int
}

// Start runs a deployment and waits until it is ready; Close it in any case.
func Start(ctx context.Context, o Options, log *slog.Logger) (*Stack, error) {
	authority, err := certs.NewAuthority(certificateValid)
	if err != nil {
		return nil, err
	}
	s := &Stack{options: o, ctx: ctx, log: log, clock: clock.New(), authority: authority, LogURL: o.LogURL}
	if err := s.startAll(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Stack) startAll() error {
	if s.LogURL == "" {
		if err := s.startLog(); err != nil {
			return err
		}
	}
	for range s.options.Entries {
		if _, err := s.AddEntry(); err != nil {
			return err
		}
	}
	for _, u := range s.options.Upstreams {
		if _, err := s.AddAgent(u); err != nil {
			return err
		}
	}
	if err := s.applyContracts(); err != nil {
		return err
	}
	return s.WaitReady()
}

func (s *Stack) startLog() error {
	retention := s.options.Retention
	if retention == 0 {
		retention = defaultRetention
	}
	s.Log = fakes.NewLog(retention, s.options.Seed)
	url, err := s.Log.Open(loopback)
	if err != nil {
		return err
	}
	s.LogURL = url
	s.procs = append(s.procs, s.spawn("log", s.Log.Run))
	return nil
}

// spawn runs a task that reports its end on done.
func (s *Stack) spawn(name string, run func(context.Context, chan<- error)) Proc {
	ctx, cancel := context.WithCancel(s.ctx)
	p := Proc{Name: name, Stop: cancel, Done: make(chan error, 1)}
	go run(ctx, p.Done)
	return p
}

func (s *Stack) host(role host.Role) host.Host {
	s.named++
	return host.Host{
		Name:        fmt.Sprintf("%s-%d", role, s.named),
		Incarnation: host.NewIncarnation(),
		Role:        role,
		Location:    zone.Location{Region: "local", Zone: fmt.Sprintf("zone-%d", s.named%zones)},
	}
}

// identity names a new process and makes its keys.
func (s *Stack) identity(role host.Role) (host.Host, *tls.Config, error) {
	self := s.host(role)
	pair, err := s.authority.IssueCredentials(self.Name, self.Role, certificateValid)
	if err != nil {
		return self, nil, err
	}
	config, err := pair.TLSConfig()
	return self, config, err
}

// AddEntry starts one more entry.
func (s *Stack) AddEntry() (*EntryProc, error) {
	self, config, err := s.identity(host.RoleEntry)
	if err != nil {
		return nil, err
	}
	client := logsvc.New(s.LogURL)
	s.clients = append(s.clients, client)
	e := entry.New(s.entrySettings(self, config), s.clock, s.parts(), client, s.log.With("process", self.Name))
	p := &EntryProc{Entry: e}
	if p.Addresses, err = e.Open(); err != nil {
		return nil, err
	}
	p.LinkAddress = p.Addresses.Links
	if s.options.Relayed {
		if err := s.relay(p); err != nil {
			return nil, err
		}
	}
	p.Proc = s.spawn(self.Name, func(ctx context.Context, done chan<- error) { done <- e.Run(ctx) })
	s.Entries = append(s.Entries, p)
	return p, nil
}

func (s *Stack) relay(p *EntryProc) error {
	r, address, err := fakes.NewRelay(p.Addresses.Links)
	if err != nil {
		return err
	}
	p.Relay, p.LinkAddress = r, address
	p.Entry.Advertise(address)
	s.procs = append(s.procs, s.spawn("relay", r.Run))
	return nil
}

func (s *Stack) entrySettings(self host.Host, t *tls.Config) entry.Settings {
	linger := s.options.EntryLinger
	if linger == 0 {
		linger = defaultLingerMS
	}
	retention := s.options.RetentionMS
	if retention == 0 {
		retention = defaultRetentMS
	}
	return entry.Settings{
		Self:              self,
		CallerAddress:     loopback,
		OperatorAddress:   loopback,
		OperatorToken:     operatorToken,
		LinkAddress:       loopback,
		Seeds:             s.entryLinks(),
		TLS:               t,
		CertificateExpiry: time.Now().Add(certificateValid),
		HeartbeatInterval: heartbeatMS,
		LinkIdleTimeout:   silenceMS,
		RetentionMS:       retention,
		LingerMS:          linger,
		MaxBodyBytes:      maxBodyBytes,
		Dispatch: disp.Settings{
			Self:            self,
			Keys:            grant.TableLimits{Window: keyWindowMS, MaxKeys: maxKeys, MaxAnswerBytes: maxAnswerBytes},
			GrantDurationMS: initialHorizonMS,
			MaxJobTasks:     maxJobTasks,
			ExplainWaitMS:   explainWaitMS,
		},
	}
}

func (s *Stack) entryLinks() []string {
	var out []string
	for _, e := range s.Entries {
		out = append(out, e.LinkAddress)
	}
	return out
}

func (s *Stack) parts() disp.Parts {
	parts := entry.NewParts(grant.TableLimits{Window: keyWindowMS, MaxKeys: maxKeys, MaxAnswerBytes: maxAnswerBytes})
	if s.options.Baseline {
		parts.Queue = naive.NewFIFO()
		parts.Chooser = naive.NewRandom(parts.Fleet, s.options.Seed)
	}
	return parts
}

// AddAgent starts one more agent with its upstream.
func (s *Stack) AddAgent(u fakes.UpstreamSettings) (*AgentProc, error) {
	self, config, err := s.identity(host.RoleAgent)
	if err != nil {
		return nil, err
	}
	var order slot.TaskQueue = fair.New()
	if s.options.Baseline {
		order = naive.NewFIFO()
	}
	a := agent.New(agent.Settings{
		Self:              self,
		Listen:            loopback,
		Entries:           s.entryLinks(),
		TLS:               config,
		HeartbeatInterval: heartbeatMS,
		LinkIdleTimeout:   silenceMS,
		Slot: slot.Settings{
			UnlimitedWindows: s.options.Baseline,
			Cache:            slot.CacheLimits{MaxAge: keyWindowMS, MaxTasks: agentKeepTasks, MaxBytes: maxAnswerBytes},
		},
	}, s.clock, order, s.log.With("process", self.Name))
	p := &AgentProc{Agent: a}
	if p.Address, err = a.Open(); err != nil {
		return nil, err
	}
	p.Proc = s.spawn(self.Name, func(ctx context.Context, done chan<- error) { done <- a.Run(ctx) })
	s.Agents = append(s.Agents, p)
	u.Agent = "http://" + p.Address
	p.Upstream = fakes.NewUpstream(u)
	if err := p.Upstream.Open(); err != nil {
		return nil, err
	}
	p.upstream = s.spawn(u.Name, p.Upstream.Run)
	return p, nil
}

func (s *Stack) applyContracts() error {
	if len(s.Entries) == 0 {
		return nil
	}
	c := s.OperatorClient(0)
	defer c.Close()
	for _, text := range s.options.Contracts {
		if err := ApplyContract(s.ctx, c, text); err != nil {
			return err
		}
	}
	return nil
}

// ApplyContract puts a contract in force, made from the version in force at present.
func ApplyContract(ctx context.Context, c *opapi.Client, text []byte) error {
	parsed, err := contr.Parse("contract", text)
	if err != nil {
		return err
	}
	name := contr.PrefixContract + parsed.Customer
	v, err := c.Amend(ctx, contr.Amendment{Author: "local", Base: contr.NoVersion, Name: name, Text: string(text)})
	if err != nil {
		return err
	}
	if !v.Accepted {
		return errors.Errorf("apply %s: %s", name, v.Reason)
	}
	return nil
}

// OperatorClient returns a client of an entry's operators' interface.
func (s *Stack) OperatorClient(i int) *opapi.Client {
	return opapi.New("http://"+s.Entries[i].Addresses.Operators, operatorToken)
}

// WaitReady waits until every entry has links to all others and holds key time, and
// all have the same configuration.
func (s *Stack) WaitReady() error {
	limit := time.Now().Add(readyTimeout)
	for time.Now().Before(limit) {
		if s.ready() {
			return nil
		}
		if !clock.Wait(s.ctx, clock.FromDuration(readyPoll)) {
			return errors.Annotate(s.ctx.Err(), "wait for the deployment")
		}
	}
	return errors.Errorf("the deployment was not ready after %v", readyTimeout)
}

func (s *Stack) ready() bool {
	for i := range s.Entries {
		c := s.OperatorClient(i)
		st, err := c.State(s.ctx)
		c.Close()
		if err != nil || !s.settled(st) {
			return false
		}
	}
	return true
}

func (s *Stack) settled(st entry.State) bool {
	if len(st.Upstreams) < len(s.Agents) || st.Grants.HeldRanges == 0 {
		return false
	}
	for _, v := range st.ConfigVersions {
		if v != st.ConfigVersion {
			return false
		}
	}
	return len(st.ConfigVersions) >= len(s.Agents)+len(s.Entries)
}

// UpstreamSettings returns the settings of the i-th upstream, for a new one like it.
func (s *Stack) UpstreamSettings(i int) fakes.UpstreamSettings {
	return s.options.Upstreams[i]
}

// RemoveEntry forgets an entry that has ended.
func (s *Stack) RemoveEntry(p *EntryProc) {
	for i := range s.Entries {
		if s.Entries[i] == p {
			s.Entries = append(s.Entries[:i], s.Entries[i+1:]...)
			return
		}
	}
}

// RemoveAgent ends an agent's upstream and forgets the agent, which has ended.
func (s *Stack) RemoveAgent(p *AgentProc) {
	p.upstream.Stop()
	<-p.upstream.Done
	for i := range s.Agents {
		if s.Agents[i] == p {
			s.Agents = append(s.Agents[:i], s.Agents[i+1:]...)
			return
		}
	}
}

// Drain ends entries and agents in order, so that nothing in flight is cut.
func (s *Stack) Drain() {
	for _, e := range s.Entries {
		e.Entry.Drain()
	}
	for _, e := range s.Entries {
		<-e.Done
		e.Done <- nil
	}
	for _, a := range s.Agents {
		a.Agent.Drain()
	}
	for _, a := range s.Agents {
		<-a.Done
		a.Done <- nil
	}
}

// Close ends everything at once and waits for it.
func (s *Stack) Close() {
	for _, e := range s.Entries {
		e.Stop()
		<-e.Done
	}
	for _, a := range s.Agents {
		a.Stop()
		<-a.Done
		a.upstream.Stop()
		<-a.upstream.Done
	}
	for _, p := range s.procs {
		p.Stop()
		<-p.Done
	}
	for _, c := range s.clients {
		c.Close()
	}
}
