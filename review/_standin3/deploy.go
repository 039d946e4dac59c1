package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every host of a deployment, as in the settings of a small deployment.
const (
	portWorker   = 8165
	portControl  = 8166
	portFrontend = 8161
	portReady    = 8167
	portStore    = 8169
	portLink     = 7720
	portMetrics  = 9464
)

// Bounds of the site lusofala-sched-grown, which are those of lusofala-sched or longer.
const (
	contact       = 4000 * time.Millisecond
	cancelBound   = 4000 * time.Millisecond
	maxLease      = 1000 * time.Millisecond
	heartbeatTime = 1500 * time.Millisecond
	resendDelay   = 1300 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
)

const (
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
	serviceName = "huvo11a"
)

// process is a program of the project that runs on a host.
type process struct {
	name string
	args []string
	log  *os.File
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	record  *record
	net     string
	dir     string
	roles   map[string]string
	store   *store
	entries []*process
	agents  []*process
	workers []*worker
	jobs    *jobTable
}

// record is the file record.txt.
type record struct {
	mu    sync.Mutex
	file  io.Writer
	began time.Time
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// jobTable holds what the clients have sent, so that workers know how long its tasks take.
type jobTable struct {
	mu     sync.Mutex
	jobs   map[string]*job
	starts []start
	// running counts the runs of each task that have not ended.
	running map[string]int
	twice   []string
	// done holds the tasks of which a run has ended done.
	done map[string]bool
	// problems holds what breaks a rule, for the soak.
	problems []string
}

// job is a job as a client submits it.
type job struct {
	ID    string
	Spec  string
	Steps []step
}

type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMB        int    `json:"mem-mb,omitempty"`
	EstimatedMS  int    `json:"estimated-ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	Requirements string `json:"requirements,omitempty"`
}

func (t *jobTable) add(j *job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs[j.ID] = j
}

// stepOf returns the step of a task, whose name has the form ID.K.STEP.INDEX.
func (t *jobTable) stepOf(task string) (*job, step) {
	t.mu.Lock()
	defer t.mu.Unlock()
	parts := strings.Split(task, ".")
	j := t.jobs[parts[0]]
	if j == nil || len(parts) != 4 {
		return nil, step{}
	}
	n := 0
	fmt.Sscan(parts[2], &n)
	return j, j.Steps[n]
}

// checkOrder records a start before all tasks of the steps in after have ended done. The caller holds
// the lock.
func (t *jobTable) checkOrder(s start) {
	parts := strings.Split(s.Task, ".")
	j := t.jobs[parts[0]]
	if j == nil {
		t.problems = append(t.problems, "UNASKED "+s.Task)
		return
	}
	n := 0
	fmt.Sscan(parts[2], &n)
	for _, before := range j.Steps[n].After {
		for i := range j.Steps[before].Count {
			if !t.done[fmt.Sprintf("%s.0.%d.%d", j.ID, before, i)] {
				t.problems = append(t.problems, fmt.Sprintf("ORDER %s run %v", s.Task, s.Run))
			}
		}
	}
}

func (t *jobTable) startsOf(job string) []start {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []start
	for _, s := range t.starts {
		if strings.HasPrefix(s.Task, job+".") {
			out = append(out, s)
		}
	}
	return out
}

// runLines returns the command of each role in the deploy file.
func runLines(path string) (map[string]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	roles := map[string]string{}
	for _, m := range regexp.MustCompile(`(?s)\[roles\.(\w+)\]\s*run = "([^"]*)"`).FindAllStringSubmatch(string(text), -1) {
		roles[m[1]] = m[2]
	}
	return roles, nil
}

// command fills in the settings of a host in the command of a role.
func (d *deployment) command(role string, settings map[string]string) ([]string, error) {
	var missing error
	line := regexp.MustCompile(`{{([^}]*)}}`).ReplaceAllStringFunc(d.roles[role], func(m string) string {
		v, ok := settings[strings.Trim(m, "{}")]
		if !ok {
			missing = fmt.Errorf("the deploy file names the setting %s, which the script does not know", m)
		}
		return v
	})
	return strings.Fields(line), missing
}

// zoneNames are the zones of a small deployment; hosts are spread over them in turn.
var zoneNames = []string{"lisboa-a", "porto-b", "coimbra-c"}

// newDeployment starts a store, entries, agents and workers of the given kinds.
func newDeployment(ctx context.Context, rec *record, entries int, kinds []kind, guarded bool) (*deployment, error) {
	roles, err := runLines("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: rec, dir: dir, roles: roles, jobs: &jobTable{jobs: map[string]*job{}, running: map[string]int{}, done: map[string]bool{}}}
	if d.net, err = freeNet(); err != nil {
		return nil, err
	}
	if d.store, err = newStore(fmt.Sprintf("%s.250:%d", d.net, portStore)); err != nil {
		return nil, err
	}
	d.store.put("keyed.op", "config", configuration(guarded))
	for i := range entries {
		if err := d.addEntry(i); err != nil {
			return nil, err
		}
	}
	for i, k := range kinds {
		if err := d.addWorker(i, k); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func configuration(guarded bool) []byte {
	b, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{"name": "r-3hwrr6x", "host": queueHost, "path-prefix": queuePrefix, "kind": "unsafe", "timeout-ms": 30000,
			"slo-ms": 60, "priority": 0, "service": serviceName, "max-attempts": 3, "stretch": 1.6}},
		"services": []any{map[string]any{"name": serviceName, "health-path": "/health", "max-connections": 64, "protocol": "h1", "tls": false,
			"admission-control": guarded, "spare": false}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	return b
}

// freeNet returns the first three numbers of loopback addresses on which the ports are free.
func freeNet() (string, error) {
	for range 20 {
		prefix := fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.250:%d", prefix, portStore))
		if err != nil {
			continue
		}
		l.Close()
		return prefix, nil
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (d *deployment) entryIP(i int) string { return fmt.Sprintf("%s.%d", d.net, 1+i) }

func (d *deployment) agentIP(i int) string { return fmt.Sprintf("%s.%d", d.net, 101+i) }

func (d *deployment) settings(name, zone, ip string) map[string]string {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", d.entryIP(i), portControl))
	}
	return map[string]string{
		"node-name": name, "zone": zone, "region": "pt-centro", "ip": ip, "seeds": strings.Join(seeds, ","), "internal-ports.0": fmt.Sprint(portLink),
		"listen-addrs.frontend": fmt.Sprintf("%s:%d", ip, portFrontend), "listen-addrs.ready": fmt.Sprintf("%s:%d", ip, portReady),
		"listen-addrs.control": fmt.Sprintf("%s:%d", ip, portControl), "app": fmt.Sprintf("%s:%d", ip, portWorker),
		"platform.address": fmt.Sprintf("%s.250:%d", d.net, portStore), "platform.parts": "24",
		"bounds.grace-s": "6", "bounds.hold-max-ms": "1000", "bounds.resend-ms": "1300",
	}
}

func (d *deployment) addEntry(i int) error {
	zone := zoneNames[i%len(zoneNames)]
	settings := d.settings("frontend-"+zone+"-1", zone, d.entryIP(i))
	settings["limits.memory-mb"], settings["limits.max-fds"] = "284", "4100"
	p, err := d.startProcess("entry", settings)
	d.entries = append(d.entries, p)
	return err
}

func (d *deployment) addWorker(i int, k kind) error {
	zone := zoneNames[i%len(zoneNames)]
	settings := d.settings(fmt.Sprintf("side-%s-%d", zone, 1+i/len(zoneNames)), zone, d.agentIP(i))
	settings["limits.memory-mb"], settings["limits.max-fds"] = "152", "4096"
	p, err := d.startProcess("agent", settings)
	if err != nil {
		return err
	}
	d.agents = append(d.agents, p)
	w := &worker{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: serviceName, zone: zone, address: settings["app"],
		control: settings["listen-addrs.control"], maxLease: maxLease, heartbeat: heartbeatTime, needs: d.needs, onStart: d.recordStart, onEnd: d.recordEnd, clockRate: 1}
	d.workers = append(d.workers, w)
	return w.begin(k, 100*time.Millisecond)
}

func (d *deployment) needs(task string) taskNeeds {
	_, st := d.jobs.stepOf(task)
	return taskNeeds{MilliCPU: st.CPU, Duration: time.Duration(st.EstimatedMS) * time.Millisecond}
}

func (d *deployment) recordStart(s start) {
	d.jobs.mu.Lock()
	d.jobs.starts = append(d.jobs.starts, s)
	d.jobs.running[s.Task]++
	if d.jobs.running[s.Task] > 1 {
		d.jobs.twice = append(d.jobs.twice, s.Task)
		d.jobs.problems = append(d.jobs.problems, fmt.Sprintf("TWICE %s run %v on %s", s.Task, s.Run, s.Worker))
	}
	if s.UsedMilliCPU > s.Kind.MilliCPU {
		d.jobs.problems = append(d.jobs.problems, fmt.Sprintf("LIMIT %s run %v on %s: %d of %d", s.Task, s.Run, s.Worker, s.UsedMilliCPU, s.Kind.MilliCPU))
	}
	d.jobs.checkOrder(s)
	d.jobs.mu.Unlock()
	d.record.log("worker %s life %d labels %v: starts %s run %v (%d of %d milli-cpu in use)", s.Worker, s.Life, s.Kind.Labels, s.Task, s.Run,
		s.UsedMilliCPU, s.Kind.MilliCPU)
}

func (d *deployment) recordEnd(worker, task string, run float64, how string) {
	d.jobs.mu.Lock()
	d.jobs.running[task]--
	if how == "done" {
		d.jobs.done[task] = true
	}
	d.jobs.mu.Unlock()
	d.record.log("worker %s: %s run %v ends %s", worker, task, run, how)
}

func (d *deployment) startProcess(role string, settings map[string]string) (*process, error) {
	args, err := d.command(role, settings)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.dir, settings["node-name"]+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: settings["node-name"], args: args, log: log}
	return p, p.start()
}

// start starts the program. It ends with the script, whatever ends that.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := exec.Command(p.args[0], p.args[1:]...)
	c.Stdout, c.Stderr = p.log, p.log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		c.Wait()
		close(done)
	}()
	p.cmd, p.done = c, done
	return nil
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd.Process.Signal(sig)
}

// freeze stops the process and returns once it stands still.
func (p *process) freeze() {
	p.signal(syscall.SIGSTOP)
	for range 100 {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		if err != nil || strings.Contains(string(text), ") T ") {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// wait waits until the process has ended.
func (p *process) wait() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	<-done
}

func (d *deployment) close() {
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.wait()
		p.log.Close()
	}
	for _, w := range d.workers {
		w.crash()
	}
	d.store.server.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

// awaitReady waits until all entries answer the balancer's probe with 200 and a moment longer,
// until all agents are linked.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for i := range d.entries {
		for !d.isReady(i) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after 15 s", d.entries[i].name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(2500 * time.Millisecond)
	return nil
}

func (d *deployment) isReady(entry int) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", d.entryIP(entry), portReady))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
