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

	"github.com/turmericbarrow/turmericbarrow/internal/admit"
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
	// RetentionMS is how long the entries assume that the log keeps records.
	RetentionMS clock.Millis
	// Relayed inserts a relay in front of the link port of each entry.
	Relayed bool
	// EntryLinger is the minimum time for which a draining entry still accepts callers.
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
	// Done receives the result of the process when it ends.
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
	Agent *agent.Agent
	// Address is the address of the agent's HTTP listener.
	Address      string
	Upstream     *fakes.Upstream
	upstreamProc Proc
}

// Deployment is a running deployment.
type Deployment struct {
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
func Start(ctx context.Context, o Options, log *slog.Logger) (*Deployment, error) {
	authority, err := certs.NewAuthority(certificateValidity)
	if err != nil {
		return nil, err
	}
	d := &Deployment{options: o, ctx: ctx, log: log, clock: clock.New(), authority: authority, LogURL: o.LogURL}
	if err := d.startAll(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) startAll() error {
	if d.LogURL == "" {
		if err := d.startLog(); err != nil {
			return err
		}
	}
	for range d.options.Entries {
		if _, err := d.AddEntry(); err != nil {
			return err
		}
	}
	for _, u := range d.options.Upstreams {
		if _, err := d.AddAgent(u); err != nil {
			return err
		}
	}
	if err := d.applyContracts(); err != nil {
		return err
	}
	return d.WaitReady()
}

func (d *Deployment) startLog() error {
	retention := d.options.RetentionRecords
	if retention == 0 {
		retention = defaultRetentionRecords
	}
	d.Log = fakes.NewLog(retention, d.options.Seed)
	url, err := d.Log.Open(loopback)
	if err != nil {
		return err
	}
	d.LogURL = url
	d.processes = append(d.processes, d.spawn("log", d.Log.Run))
	return nil
}

// spawn runs a function in a goroutine. The function reports its end on Proc.Done.
func (d *Deployment) spawn(name string, run func(context.Context, chan<- error)) Proc {
	ctx, cancel := context.WithCancel(d.ctx)
	p := Proc{Name: name, Stop: cancel, Done: make(chan error, 1)}
	go run(ctx, p.Done)
	return p
}

func (d *Deployment) newHost(role host.Role) host.Host {
	d.hostCount++
	return host.Host{
		Name:        fmt.Sprintf("%s-%d", role, d.hostCount),
		Incarnation: host.NewIncarnation(),
		Role:        role,
		Location:    zone.Location{Region: "local", Zone: fmt.Sprintf("zone-%d", d.hostCount%zoneCount)},
	}
}

// newIdentity assigns a name to a new process and issues its certificate.
func (d *Deployment) newIdentity(role host.Role) (host.Host, *tls.Config, error) {
	self := d.newHost(role)
	credentials, err := d.authority.IssueCredentials(self.Name, self.Role, certificateValidity)
	if err != nil {
		return self, nil, err
	}
	tlsConfig, err := credentials.TLSConfig()
	return self, tlsConfig, err
}

// AddEntry starts another entry.
func (d *Deployment) AddEntry() (*EntryProc, error) {
	self, tlsConfig, err := d.newIdentity(host.RoleEntry)
	if err != nil {
		return nil, err
	}
	logClient := logsvc.New(d.LogURL)
	d.clients = append(d.clients, logClient)
	e := entry.New(d.entrySettings(self, tlsConfig), d.clock, d.dispatcherParts(), logClient, d.log.With("process", self.Name))
	p := &EntryProc{Entry: e}
	if p.Addresses, err = e.Open(); err != nil {
		return nil, err
	}
	p.LinkAddress = p.Addresses.Links
	if d.options.Relayed {
		if err := d.startRelay(p); err != nil {
			return nil, err
		}
	}
	p.Proc = d.spawn(self.Name, func(ctx context.Context, done chan<- error) { done <- e.Run(ctx) })
	d.Entries = append(d.Entries, p)
	return p, nil
}

func (d *Deployment) startRelay(p *EntryProc) error {
	r, address, err := fakes.NewRelay(p.Addresses.Links)
	if err != nil {
		return err
	}
	p.Relay, p.LinkAddress = r, address
	p.Entry.Advertise(address)
	d.processes = append(d.processes, d.spawn("relay", r.Run))
	return nil
}

func (d *Deployment) entrySettings(self host.Host, tlsConfig *tls.Config) entry.Settings {
	linger := d.options.EntryLinger
	if linger == 0 {
		linger = defaultLingerMS
	}
	retention := d.options.RetentionMS
	if retention == 0 {
		retention = defaultRetentionMS
	}
	return entry.Settings{
		Self:              self,
		CallerAddress:     loopback,
		OperatorAddress:   loopback,
		OperatorToken:     operatorToken,
		LinkAddress:       loopback,
		Seeds:             d.entryLinkAddresses(),
		TLS:               tlsConfig,
		CertificateExpiry: time.Now().Add(certificateValidity),
		HeartbeatInterval: heartbeatMS,
		LinkIdleTimeout:   linkIdleTimeoutMS,
		RetentionMS:       retention,
		LingerMS:          linger,
		MaxBodyBytes:      maxBodyBytes,
		Clients:           admit.Defaults(0, 0),
		Dispatch: disp.Settings{
			Self:            self,
			KeyLimits:       grant.TableLimits{Window: keyWindowMS, MaxKeys: maxKeys, MaxAnswerBytes: maxAnswerBytes},
			GrantDurationMS: grantDurationMS,
			MaxJobTasks:     maxJobTasks,
			ExplainWaitMS:   explainWaitMS,
		},
	}
}

func (d *Deployment) entryLinkAddresses() []string {
	var out []string
	for _, e := range d.Entries {
		out = append(out, e.LinkAddress)
	}
	return out
}

func (d *Deployment) dispatcherParts() disp.Parts {
	parts := entry.NewParts(grant.TableLimits{Window: keyWindowMS, MaxKeys: maxKeys, MaxAnswerBytes: maxAnswerBytes})
	if d.options.Baseline {
		parts.Queue = naive.NewFIFO()
		parts.Chooser = naive.NewRandom(parts.Fleet, d.options.Seed)
	}
	return parts
}

// AddAgent starts another agent with its upstream.
func (d *Deployment) AddAgent(u fakes.UpstreamSettings) (*AgentProc, error) {
	self, tlsConfig, err := d.newIdentity(host.RoleAgent)
	if err != nil {
		return nil, err
	}
	var queue slot.TaskQueue = fair.New()
	if d.options.Baseline {
		queue = naive.NewFIFO()
	}
	a := agent.New(agent.Settings{
		Self:              self,
		Listen:            loopback,
		Entries:           d.entryLinkAddresses(),
		TLS:               tlsConfig,
		HeartbeatInterval: heartbeatMS,
		LinkIdleTimeout:   linkIdleTimeoutMS,
		Clients:           admit.Defaults(0, 0),
		Slot: slot.Settings{
			UnlimitedWindows: d.options.Baseline,
			Cache:            slot.CacheLimits{MaxAge: keyWindowMS, MaxTasks: agentCacheTasks, MaxBytes: maxAnswerBytes},
		},
	}, d.clock, queue, d.log.With("process", self.Name))
	p := &AgentProc{Agent: a}
	if p.Address, err = a.Open(); err != nil {
		return nil, err
	}
	p.Proc = d.spawn(self.Name, func(ctx context.Context, done chan<- error) { done <- a.Run(ctx) })
	d.Agents = append(d.Agents, p)
	u.Agent = "http://" + p.Address
	p.Upstream = fakes.NewUpstream(u)
	if err := p.Upstream.Open(); err != nil {
		return nil, err
	}
	p.upstreamProc = d.spawn(u.Name, p.Upstream.Run)
	return p, nil
}

func (d *Deployment) applyContracts() error {
	if len(d.Entries) == 0 {
		return nil
	}
	c := d.OperatorClient(0)
	defer c.Close()
	for _, text := range d.options.Contracts {
		if err := ApplyContract(d.ctx, c, text); err != nil {
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
func (d *Deployment) OperatorClient(i int) *opapi.Client {
	return opapi.New("http://"+d.Entries[i].Addresses.Operators, operatorToken)
}

// WaitReady waits until each entry is linked to all other entries and all agents, lists all
// upstreams, holds granted key ranges, and all processes have the same configuration version.
func (d *Deployment) WaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if d.ready() {
			return nil
		}
		if !clock.Wait(d.ctx, clock.FromDuration(readyPollInterval)) {
			return errors.Annotate(d.ctx.Err(), "wait for the deployment to be ready")
		}
	}
	return errors.Errorf("the deployment was not ready after %v", readyTimeout)
}

func (d *Deployment) ready() bool {
	for i := range d.Entries {
		c := d.OperatorClient(i)
		st, err := c.State(d.ctx)
		c.Close()
		if err != nil || !d.converged(st) {
			return false
		}
	}
	return true
}

// converged reports whether an entry's state meets the conditions of WaitReady.
func (d *Deployment) converged(st entry.State) bool {
	if len(st.Upstreams) < len(d.Agents) || st.Grants.HeldRanges == 0 {
		return false
	}
	for _, v := range st.ConfigVersions {
		if v != st.ConfigVersion {
			return false
		}
	}
	// ConfigVersions has this entry and each linked process.
	return len(st.ConfigVersions) >= len(d.Agents)+len(d.Entries)
}

// UpstreamSettings returns the settings of the i-th initial upstream, from which a similar
// one can be created.
func (d *Deployment) UpstreamSettings(i int) fakes.UpstreamSettings {
	return d.options.Upstreams[i]
}

// RemoveEntry removes an entry that has ended from Entries.
func (d *Deployment) RemoveEntry(p *EntryProc) {
	for i := range d.Entries {
		if d.Entries[i] == p {
			d.Entries = append(d.Entries[:i], d.Entries[i+1:]...)
			return
		}
	}
}

// RemoveAgent stops the upstream of an agent that has ended and removes the agent from Agents.
func (d *Deployment) RemoveAgent(p *AgentProc) {
	p.upstreamProc.Stop()
	<-p.upstreamProc.Done
	for i := range d.Agents {
		if d.Agents[i] == p {
			d.Agents = append(d.Agents[:i], d.Agents[i+1:]...)
			return
		}
	}
}

// Drain shuts down the entries first and then the agents, so that no request in flight is
// interrupted.
func (d *Deployment) Drain() {
	for _, e := range d.Entries {
		e.Entry.Drain()
	}
	for _, e := range d.Entries {
		<-e.Done
		e.Done <- nil // Close receives from Done again
	}
	for _, a := range d.Agents {
		a.Agent.Drain()
	}
	for _, a := range d.Agents {
		<-a.Done
		a.Done <- nil // Close receives from Done again
	}
}

// Close stops all processes immediately and waits for them to end.
func (d *Deployment) Close() {
	for _, e := range d.Entries {
		e.Stop()
		<-e.Done
	}
	for _, a := range d.Agents {
		a.Stop()
		<-a.Done
		a.upstreamProc.Stop()
		<-a.upstreamProc.Done
	}
	for _, p := range d.processes {
		p.Stop()
		<-p.Done
	}
	for _, c := range d.clients {
		c.Close()
	}
}
