// Package local runs a complete small deployment in one process on the loopback interface:
// entries, agents, sample upstreams and a fake log service. The entries and agents run the same
// code as the separate processes. It is used by the dev command, benchmarks and tests.
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

// Options configures a deployment.
type Options struct {
	Entries   int
	Upstreams []fakes.UpstreamSettings
	// Contracts holds the YAML texts of the contracts to apply at the start.
	Contracts [][]byte
	// Baseline makes tasks run in order of arrival and on randomly chosen upstreams.
	Baseline bool
	Seed     uint64
	// RetentionRecords is the maximum number of records that a stream of the log retains.
	RetentionRecords int
	RetentionMS      clock.Millis
	// Relayed inserts a relay in front of the link port of each entry.
	Relayed bool
	// EntryLinger is the time for which a draining entry still accepts callers.
	EntryLinger clock.Millis
	// LogURL is the base URL of a log service to use instead of starting a fake one.
	LogURL string
}

// Settings of the processes of a local deployment.
const (
	heartbeatMS             = clock.Millis(500)
	linkIdleTimeoutMS       = clock.Millis(1800)
	certificateValidity     = 24 * time.Hour
	defaultRetentionRecords = 100_000
	defaultRetentionMS      = clock.Millis(3_600_000)
	readyTimeout            = 15 * time.Second
	readyPollInterval       = 10 * time.Millisecond
	keyWindowMS             = clock.Millis(120_000)
	maxKeys                 = 200_000
	maxAnswerBytes          = 64 << 20
	maxBodyBytes            = 1 << 20
	maxJobTasks             = 310
	explainWaitMS           = clock.Millis(20)
	grantDurationMS         = clock.Millis(5_000)
	defaultLingerMS         = clock.Millis(200)
	agentCacheTasks         = 20_000
	zoneCount               = 3
	loopback                = "127.0.0.1:0"
	operatorToken           = ""
)

// Proc is one running process of the deployment.
type Proc struct {
	Name string
	// Stop stops the process immediately, without draining it.
	Stop context.CancelFunc
	Done chan error
}

// EntryProc is a running entry.
type EntryProc struct {
	Proc
	Entry     *entry.Entry
	Addresses entry.Addresses
	// LinkAddress is the address to which agents and other entries connect: the entry's own
	// or that of its relay.
	LinkAddress string
	Relay       *fakes.Relay
}

// AgentProc is a running agent and its upstream.
type AgentProc struct {
	Proc
	Agent        *agent.Agent
	Address      string
	Upstream     *fakes.Upstream
	upstreamProc Proc
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
	// processes holds the log service and the relays.
	processes []Proc
	clients   []*logsvc.Client
	hostCount int
}

// Start starts a deployment and waits until it is ready. The caller must call Close unless
// Start returns an error.
func Start(ctx context.Context, o Options, log *slog.Logger) (*Stack, error) {
	authority, err := certs.NewAuthority(certificateValidity)
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
	retention := s.options.RetentionRecords
	if retention == 0 {
		retention = defaultRetentionRecords
	}
	s.Log = fakes.NewLog(retention, s.options.Seed)
	url, err := s.Log.Open(loopback)
	if err != nil {
		return err
	}
	s.LogURL = url
	s.processes = append(s.processes, s.spawn("log", s.Log.Run))
	return nil
}

// spawn runs a function in a goroutine. The function reports its end on Proc.Done.
func (s *Stack) spawn(name string, run func(context.Context, chan<- error)) Proc {
	ctx, cancel := context.WithCancel(s.ctx)
	p := Proc{Name: name, Stop: cancel, Done: make(chan error, 1)}
	go run(ctx, p.Done)
	return p
}

func (s *Stack) newHost(role host.Role) host.Host {
	s.hostCount++
	return host.Host{
		Name:        fmt.Sprintf("%s-%d", role, s.hostCount),
		Incarnation: host.NewIncarnation(),
		Role:        role,
		Location:    zone.Location{Region: "local", Zone: fmt.Sprintf("zone-%d", s.hostCount%zoneCount)},
	}
}

// newIdentity assigns a name to a new process and issues its certificate.
func (s *Stack) newIdentity(role host.Role) (host.Host, *tls.Config, error) {
	self := s.newHost(role)
	credentials, err := s.authority.IssueCredentials(self.Name, self.Role, certificateValidity)
	if err != nil {
		return self, nil, err
	}
	tlsConfig, err := credentials.TLSConfig()
	return self, tlsConfig, err
}

// AddEntry starts another entry.
func (s *Stack) AddEntry() (*EntryProc, error) {
	self, tlsConfig, err := s.newIdentity(host.RoleEntry)
	if err != nil {
		return nil, err
	}
	logClient := logsvc.New(s.LogURL)
	s.clients = append(s.clients, logClient)
	e := entry.New(s.entrySettings(self, tlsConfig), s.clock, s.dispatcherParts(), logClient, s.log.With("process", self.Name))
	p := &EntryProc{Entry: e}
	if p.Addresses, err = e.Open(); err != nil {
		return nil, err
	}
	p.LinkAddress = p.Addresses.Links
	if s.options.Relayed {
		if err := s.startRelay(p); err != nil {
			return nil, err
		}
	}
	p.Proc = s.spawn(self.Name, func(ctx context.Context, done chan<- error) { done <- e.Run(ctx) })
	s.Entries = append(s.Entries, p)
	return p, nil
}

func (s *Stack) startRelay(p *EntryProc) error {
	r, address, err := fakes.NewRelay(p.Addresses.Links)
	if err != nil {
		return err
	}
	p.Relay, p.LinkAddress = r, address
	p.Entry.Advertise(address)
	s.processes = append(s.processes, s.spawn("relay", r.Run))
	return nil
}

func (s *Stack) entrySettings(self host.Host, tlsConfig *tls.Config) entry.Settings {
	linger := s.options.EntryLinger
	if linger == 0 {
		linger = defaultLingerMS
	}
	retention := s.options.RetentionMS
	if retention == 0 {
		retention = defaultRetentionMS
	}
	return entry.Settings{
		Self:              self,
		CallerAddress:     loopback,
		OperatorAddress:   loopback,
		OperatorToken:     operatorToken,
		LinkAddress:       loopback,
		Seeds:             s.entryLinkAddresses(),
		TLS:               tlsConfig,
		CertificateExpiry: time.Now().Add(certificateValidity),
		HeartbeatInterval: heartbeatMS,
		LinkIdleTimeout:   linkIdleTimeoutMS,
		RetentionMS:       retention,
		LingerMS:          linger,
		MaxBodyBytes:      maxBodyBytes,
		Dispatch: disp.Settings{
			Self:            self,
			KeyLimits:       grant.TableLimits{Window: keyWindowMS, MaxKeys: maxKeys, MaxAnswerBytes: maxAnswerBytes},
			GrantDurationMS: grantDurationMS,
			MaxJobTasks:     maxJobTasks,
			ExplainWaitMS:   explainWaitMS,
		},
	}
}

func (s *Stack) entryLinkAddresses() []string {
	var out []string
	for _, e := range s.Entries {
		out = append(out, e.LinkAddress)
	}
	return out
}

func (s *Stack) dispatcherParts() disp.Parts {
	parts := entry.NewParts(grant.TableLimits{Window: keyWindowMS, MaxKeys: maxKeys, MaxAnswerBytes: maxAnswerBytes})
	if s.options.Baseline {
		parts.Queue = naive.NewFIFO()
		parts.Chooser = naive.NewRandom(parts.Fleet, s.options.Seed)
	}
	return parts
}

// AddAgent starts another agent with its upstream.
func (s *Stack) AddAgent(u fakes.UpstreamSettings) (*AgentProc, error) {
	self, tlsConfig, err := s.newIdentity(host.RoleAgent)
	if err != nil {
		return nil, err
	}
	var queue slot.TaskQueue = fair.New()
	if s.options.Baseline {
		queue = naive.NewFIFO()
	}
	a := agent.New(agent.Settings{
		Self:              self,
		Listen:            loopback,
		Entries:           s.entryLinkAddresses(),
		TLS:               tlsConfig,
		HeartbeatInterval: heartbeatMS,
		LinkIdleTimeout:   linkIdleTimeoutMS,
		Slot: slot.Settings{
			UnlimitedWindows: s.options.Baseline,
			Cache:            slot.CacheLimits{MaxAge: keyWindowMS, MaxTasks: agentCacheTasks, MaxBytes: maxAnswerBytes},
		},
	}, s.clock, queue, s.log.With("process", self.Name))
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
	p.upstreamProc = s.spawn(u.Name, p.Upstream.Run)
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

// ApplyContract adds a contract for a customer that does not have one yet.
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

// OperatorClient returns a client of the operator API of the i-th entry.
func (s *Stack) OperatorClient(i int) *opapi.Client {
	return opapi.New("http://"+s.Entries[i].Addresses.Operators, operatorToken)
}

// WaitReady waits until each entry is linked to all other entries and all agents, lists all
// upstreams, holds granted key ranges, and all processes have the same configuration version.
func (s *Stack) WaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if s.ready() {
			return nil
		}
		if !clock.Wait(s.ctx, clock.FromDuration(readyPollInterval)) {
			return errors.Annotate(s.ctx.Err(), "wait for the deployment to be ready")
		}
	}
	return errors.Errorf("the deployment was not ready after %v", readyTimeout)
}

func (s *Stack) ready() bool {
	for i := range s.Entries {
		c := s.OperatorClient(i)
		st, err := c.State(s.ctx)
		c.Close()
		if err != nil || !s.converged(st) {
			return false
		}
	}
	return true
}

func (s *Stack) converged(st entry.State) bool {
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

// UpstreamSettings returns the settings of the i-th initial upstream, from which a similar
// one can be created.
func (s *Stack) UpstreamSettings(i int) fakes.UpstreamSettings {
	return s.options.Upstreams[i]
}

// RemoveEntry removes an entry that has ended from Entries.
func (s *Stack) RemoveEntry(p *EntryProc) {
	for i := range s.Entries {
		if s.Entries[i] == p {
			s.Entries = append(s.Entries[:i], s.Entries[i+1:]...)
			return
		}
	}
}

// RemoveAgent stops the upstream of an agent that has ended and removes the agent from Agents.
func (s *Stack) RemoveAgent(p *AgentProc) {
	p.upstreamProc.Stop()
	<-p.upstreamProc.Done
	for i := range s.Agents {
		if s.Agents[i] == p {
			s.Agents = append(s.Agents[:i], s.Agents[i+1:]...)
			return
		}
	}
}

// Drain shuts down the entries first and then the agents, so that no request in flight is
// interrupted.
func (s *Stack) Drain() {
	for _, e := range s.Entries {
		e.Entry.Drain()
	}
	for _, e := range s.Entries {
		<-e.Done
		e.Done <- nil // Close receives from Done again
	}
	for _, a := range s.Agents {
		a.Agent.Drain()
	}
	for _, a := range s.Agents {
		<-a.Done
		a.Done <- nil // Close receives from Done again
	}
}

// Close stops all processes immediately and waits for them to end.
func (s *Stack) Close() {
	for _, e := range s.Entries {
		e.Stop()
		<-e.Done
	}
	for _, a := range s.Agents {
		a.Stop()
		<-a.Done
		a.upstreamProc.Stop()
		<-a.upstreamProc.Done
	}
	for _, p := range s.processes {
		p.Stop()
		<-p.Done
	}
	for _, c := range s.clients {
		c.Close()
	}
}
