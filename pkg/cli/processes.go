package cli

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/turmericbarrow/turmericbarrow/internal/agent"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/daemon"
	"github.com/turmericbarrow/turmericbarrow/internal/disp"
	"github.com/turmericbarrow/turmericbarrow/internal/entry"
	"github.com/turmericbarrow/turmericbarrow/internal/fair"
	"github.com/turmericbarrow/turmericbarrow/internal/grant"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/logsvc"
	"github.com/turmericbarrow/turmericbarrow/internal/slot"
)

// entryFlags are the flags of the entry command.
type entryFlags struct {
	hostFlags
	listen        string
	operators     string
	operatorToken string
	links         string
	advertise     string
	seeds         []string
	logURL        string
	logRetention  time.Duration
	linger        time.Duration
	keyWindow     time.Duration
	maxKeys       int
	maxAnswerMB   int
	maxBodyBytes  int64
	maxJobTasks   int
	explainWait   time.Duration
}

const entryExample = `  turmericbarrow entry --name entry-1 --region pt-centro --zone a \
    --listen 10.0.0.1:7100 --operators 10.0.0.1:7200 --links 10.0.0.1:7400 \
    --log-url http://10.0.0.9:7300 --seeds 10.0.0.2:7400 \
    --authority authority.pem --certificate entry-1.pem --key entry-1.key`

func (a *app) entryCommand() *cobra.Command {
	f := &entryFlags{}
	c := &cobra.Command{
		Use:     "entry",
		Short:   "Run an entry: admits, queues, routes and answers",
		Example: entryExample,
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return a.runEntry(c.Context(), f) },
	}
	f.hostFlags.add(c.Flags())
	c.Flags().StringVar(&f.listen, "listen", ":7100", "address for callers, over HTTP")
	c.Flags().StringVar(&f.operators, "operators", "127.0.0.1:7200", "address for operators, over HTTP")
	c.Flags().StringVar(&f.operatorToken, "operator-token", "", "token that operators must send; empty for none")
	c.Flags().StringVar(&f.links, "links", ":7400", "UDP address for links")
	c.Flags().StringVar(&f.advertise, "advertise", "", "link address that other processes use, if it differs from --links")
	c.Flags().StringSliceVar(&f.seeds, "seeds", nil, "link addresses of other entries, used while the log is down")
	c.Flags().StringVar(&f.logURL, "log-url", "", "base URL of the platform's log")
	c.Flags().DurationVar(&f.logRetention, "log-retention", time.Hour, "how long the log keeps records")
	c.Flags().DurationVar(&f.linger, "linger", 2*time.Second, "how long a draining entry still takes callers")
	c.Flags().DurationVar(&f.keyWindow, "key-window", 10*time.Minute, "how long keys and answers are remembered")
	c.Flags().IntVar(&f.maxKeys, "max-keys", 1_000_000, "maximum number of keys remembered")
	c.Flags().IntVar(&f.maxAnswerMB, "max-answer-mb", 256, "maximum megabytes of answers remembered")
	c.Flags().Int64Var(&f.maxBodyBytes, "max-body-bytes", 1<<20, "largest body of a request or job")
	c.Flags().IntVar(&f.maxJobTasks, "max-job-tasks", defaultMaxJobTasks, "maximum number of tasks in a job")
	c.Flags().DurationVar(&f.explainWait, "explain-wait", 20*time.Millisecond, "wait after which a request is remembered for explain")
	return c
}

// defaultMaxJobTasks is the default of --max-job-tasks.
const defaultMaxJobTasks = 310

// minRetentionWindows is the minimum retention of the log in key windows. The log must
// still hold a grant while callers may submit keys that the grant covers.
const minRetentionWindows = 2

// problems returns an error for each flag that is not allowed.
func (f *entryFlags) problems() []error {
	errs := settingErrors(f.hostFlags.problems())
	errs.add(checkAddress("listen", f.listen), checkAddress("operators", f.operators), checkAddress("links", f.links))
	errs.add(checkAddresses("seeds", f.seeds)...)
	errs.add(checkURL("log-url", f.logURL))
	if f.advertise != "" {
		errs.add(checkAddress("advertise", f.advertise))
	}
	errs.require(f.keyWindow >= 10*time.Second && f.keyWindow <= 24*time.Hour, "key-window", f.keyWindow, "10s to 24h")
	errs.require(f.logRetention >= minRetentionWindows*f.keyWindow, "log-retention", f.logRetention, "at least twice --key-window")
	errs.require(f.linger >= 0 && f.linger <= time.Minute, "linger", f.linger, "0s to 1m")
	errs.require(f.maxKeys >= 1000, "max-keys", f.maxKeys, "1000 or more")
	errs.require(f.maxAnswerMB >= 1, "max-answer-mb", f.maxAnswerMB, "1 or more")
	errs.require(f.maxBodyBytes >= 1<<10 && f.maxBodyBytes <= 8<<20, "max-body-bytes", f.maxBodyBytes, "1024 to 8388608")
	errs.require(f.maxJobTasks >= 1 && f.maxJobTasks <= 10_000, "max-job-tasks", f.maxJobTasks, "1 to 10000")
	return errs
}

func (f *entryFlags) settings() (entry.Settings, error) {
	errs := settingErrors(f.problems())
	if err := errs.first(); err != nil {
		return entry.Settings{}, err
	}
	clients, err := f.clients.Settings()
	if err != nil {
		return entry.Settings{}, err
	}
	id, err := f.identity(host.RoleEntry)
	if err != nil {
		return entry.Settings{}, err
	}
	return entry.Settings{
		Self:            id.self,
		CallerAddress:   f.listen,
		OperatorAddress: f.operators,
		OperatorToken:   f.operatorToken,
		LinkAddress:     f.links,

		AdvertisedLinkAddress: f.advertise,
		Seeds:                 f.seeds,
		TLS:                   id.tls,
		CertificateExpiry:     id.expiry,
		HeartbeatInterval:     millis(f.heartbeatInterval),
		LinkIdleTimeout:       millis(f.linkIdleTimeout),
		RetentionMS:           millis(f.logRetention),
		LingerMS:              millis(f.linger),
		MaxBodyBytes:          f.maxBodyBytes,
		Clients:               clients,
		Dispatch: disp.Settings{
			Self:            id.self,
			KeyLimits:       f.keyLimits(),
			GrantDurationMS: entry.MinGrantDurationMS,
			MaxJobTasks:     f.maxJobTasks,
			ExplainWaitMS:   millis(f.explainWait),
		},
	}, nil
}

func (f *entryFlags) keyLimits() grant.TableLimits {
	return grant.TableLimits{
		Window:         millis(f.keyWindow),
		MaxKeys:        f.maxKeys,
		MaxAnswerBytes: f.maxAnswerMB << 20,
	}
}

func (a *app) runEntry(ctx context.Context, f *entryFlags) error {
	if f.checkOnly {
		return a.checkSettings("entry", f.problems(), f.hostFlags)
	}
	log, err := a.logger()
	if err != nil {
		return err
	}
	s, err := f.settings()
	if err != nil {
		return err
	}
	f.clients.SetMemoryLimit()
	client := logsvc.New(f.logURL)
	defer client.Close()
	e := entry.New(s, clock.New(), entry.NewParts(s.Dispatch.KeyLimits), client, log)
	addresses, err := e.Open()
	if err != nil {
		return err
	}
	log.Info("entry up", "callers", addresses.Callers, "operators", addresses.Operators, "links", addresses.Links)
	ctx, stop := daemon.ShutdownOnSignal(ctx, e.Drain)
	defer stop()
	return daemon.IgnoreCanceled(e.Run(ctx))
}

// agentFlags are the flags of the agent command.
type agentFlags struct {
	hostFlags
	listen      string
	entries     []string
	scope       string
	keyWindow   time.Duration
	maxTasks    int
	maxAnswerMB int
}

const agentExample = `  turmericbarrow agent --name minion-1 --region pt-centro --zone a \
    --listen 127.0.0.1:7500 --entries 10.0.0.1:7400,10.0.0.2:7400 \
    --authority authority.pem --certificate minion-1.pem --key minion-1.key`

func (a *app) agentCommand() *cobra.Command {
	f := &agentFlags{}
	c := &cobra.Command{
		Use:     "agent",
		Short:   "Run an agent: controls all access to the upstream beside it",
		Example: agentExample,
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return a.runAgent(c.Context(), f) },
	}
	f.hostFlags.add(c.Flags())
	c.Flags().StringVar(&f.listen, "listen", "127.0.0.1:7500", "address for the upstream and operators, over HTTP")
	c.Flags().StringSliceVar(&f.entries, "entries", nil, "link addresses of entries to start from")
	c.Flags().StringVar(&f.scope, "link-scope", string(agent.ScopeRegion), "entries to link to: region or zone")
	c.Flags().DurationVar(&f.keyWindow, "key-window", 10*time.Minute, "how long tasks and answers are remembered")
	c.Flags().IntVar(&f.maxTasks, "max-tasks", 20_000, "maximum number of tasks remembered")
	c.Flags().IntVar(&f.maxAnswerMB, "max-answer-mb", 16, "maximum megabytes of answers remembered")
	return c
}

// problems returns an error for each flag that is not allowed.
func (f *agentFlags) problems() []error {
	errs := settingErrors(f.hostFlags.problems())
	errs.add(checkAddress("listen", f.listen))
	errs.add(checkAddresses("entries", f.entries)...)
	errs.require(len(f.entries) > 0, "entries", "[]", "at least one address")
	errs.require(f.scope == string(agent.ScopeRegion) || f.scope == string(agent.ScopeZone), "link-scope", f.scope, "region or zone")
	errs.require(f.keyWindow >= time.Second, "key-window", f.keyWindow, "1s or more")
	errs.require(f.maxTasks >= 1, "max-tasks", f.maxTasks, "1 or more")
	errs.require(f.maxAnswerMB >= 1, "max-answer-mb", f.maxAnswerMB, "1 or more")
	return errs
}

func (f *agentFlags) settings() (agent.Settings, error) {
	errs := settingErrors(f.problems())
	if err := errs.first(); err != nil {
		return agent.Settings{}, err
	}
	clients, err := f.clients.Settings()
	if err != nil {
		return agent.Settings{}, err
	}
	id, err := f.identity(host.RoleAgent)
	if err != nil {
		return agent.Settings{}, err
	}
	return agent.Settings{
		Self:              id.self,
		Listen:            f.listen,
		Entries:           f.entries,
		Scope:             agent.LinkScope(f.scope),
		CertificateExpiry: id.expiry,
		TLS:               id.tls,
		HeartbeatInterval: millis(f.heartbeatInterval),
		LinkIdleTimeout:   millis(f.linkIdleTimeout),
		Clients:           clients,
		Slot: slot.Settings{Cache: slot.CacheLimits{
			MaxAge: millis(f.keyWindow), MaxTasks: f.maxTasks, MaxBytes: f.maxAnswerMB << 20}},
	}, nil
}

func (a *app) runAgent(ctx context.Context, f *agentFlags) error {
	if f.checkOnly {
		return a.checkSettings("agent", f.problems(), f.hostFlags)
	}
	log, err := a.logger()
	if err != nil {
		return err
	}
	s, err := f.settings()
	if err != nil {
		return err
	}
	f.clients.SetMemoryLimit()
	ag := agent.New(s, clock.New(), fair.New(), log)
	address, err := ag.Open()
	if err != nil {
		return err
	}
	log.Info("agent up", "listen", address)
	ctx, stop := daemon.ShutdownOnSignal(ctx, ag.Drain)
	defer stop()
	return daemon.IgnoreCanceled(ag.Run(ctx))
}
