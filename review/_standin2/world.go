package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the small deployments in the site files.
const (
	contactMS = 3000
	cancelMS  = 3000
	graceS    = 6
	resendMS  = 1300
	queueHost = "fronts.example"
	prefix    = "/jobs/"
	service   = "svc"
)

// Ports are the same on all machines. Each is the sum of one of these and World.basePort.
const (
	portCallers = iota
	portControl
	portReady
	portApp
	portDirect // the minion itself, where a proxy stands before it
	portBeats  // the proxy before the agent's control port
	portStore
	portLinks
	portMetrics
	portCount
)

// World is a small deployment on loopback addresses: every machine has an address of its own.
type World struct {
	Record *Record
	Store  *Store

	net       int // second byte of all addresses
	basePort  int
	dir       string
	commands  map[string]string
	storeAt   string
	processes []*Process
	mu        sync.Mutex
	tasks     []*Task
}

// Process is one of the project's programs on one machine.
type Process struct {
	Name    string
	IP      string
	command *exec.Cmd
	done    chan struct{}
	role    string
}

// NewWorld starts the store, with a configuration in it.
func NewWorld(record *Record) (*World, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &World{Record: record, dir: dir}
	if err := w.findPorts(); err != nil {
		return nil, err
	}
	if w.commands, err = deployCommands("deploy/system.toml"); err != nil {
		return nil, err
	}
	w.storeAt = w.address(w.ip(250), portStore)
	if w.Store, err = NewStore(w.storeAt); err != nil {
		return nil, err
	}
	w.configure(1, true)
	return w, nil
}

// findPorts picks a network and ports on which nothing listens.
func (w *World) findPorts() error {
	for range 20 {
		w.net, w.basePort = 20+rand.IntN(200), 15000+10*rand.IntN(1500)
		free := true
		for port := range portCount {
			l, err := net.Listen("tcp", w.address(w.ip(1), port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return nil
		}
	}
	return errors.New("no free ports")
}

// configure puts a configuration with one queue and one service into the store.
func (w *World) configure(version int, guards bool) {
	config, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "r-1", "host": queueHost, "path-prefix": prefix, "kind": "unsafe", "timeout-ms": 60000,
			"slo-ms": 2000, "priority": 0, "service": service, "max-attempts": 3, "stretch": 1.6}},
		"services": []any{map[string]any{"name": service, "health-path": "/health", "max-connections": 64, "protocol": "h1",
			"tls": false, "admission-control": guards, "spare": false}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	w.Store.Put("keyed.op", "config", config)
	w.Record.Add("operator: configuration %d acknowledged", version)
}

func (w *World) ip(host int) string {
	return fmt.Sprintf("127.%d.0.%d", w.net, host)
}

func (w *World) address(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(w.basePort+port))
}

var deployLine = regexp.MustCompile(`(?m)^\[roles\.(\w+)\]\s*\nrun = "(.*)"$`)

// deployCommands returns the commands of the roles in the deploy file.
func deployCommands(path string) (map[string]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	out := map[string]string{}
	for _, m := range deployLine.FindAllStringSubmatch(string(text), -1) {
		out[m[1]] = m[2]
	}
	if out["entry"] == "" || out["agent"] == "" {
		return nil, errors.New("the deploy file has no roles entry and agent")
	}
	return out, nil
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// Start starts a program of the deploy file on a machine. Machines 1 to 9 are frontends.
func (w *World) Start(role string, machine int) (*Process, error) {
	ip := w.ip(machine)
	name := fmt.Sprintf("%s-%d", role, machine)
	var seeds []string
	for i := 1; i <= 3; i++ {
		seeds = append(seeds, w.address(w.ip(i), portControl))
	}
	settings := map[string]string{
		"node-name": name, "zone": "zone-a", "region": "region-a", "ip": ip,
		"listen-addrs.frontend": w.address(ip, portCallers), "listen-addrs.ready": w.address(ip, portReady),
		"listen-addrs.control": w.address(ip, portControl), "internal-ports.0": strconv.Itoa(w.basePort + portLinks),
		"seeds": strings.Join(seeds, ","), "platform.address": w.storeAt, "platform.parts": "24", "app": w.address(ip, portApp),
		"bounds.grace-s": fmt.Sprint(graceS), "bounds.hold-max-ms": fmt.Sprint(holdMaxMS), "bounds.resend-ms": fmt.Sprint(resendMS),
		"limits.memory-mb": "284", "limits.max-fds": "4100",
	}
	var missing error
	line := placeholder.ReplaceAllStringFunc(w.commands[role], func(p string) string {
		v, ok := settings[p[2:len(p)-2]]
		if !ok {
			missing = fmt.Errorf("no setting for %s", p)
		}
		return v
	})
	if missing != nil {
		return nil, missing
	}
	line = strings.ReplaceAll(line, ":9464", ":"+strconv.Itoa(w.basePort+portMetrics))
	words := strings.Fields(line)
	c := exec.Command(words[0], words[1:]...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	out, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &Process{Name: name, IP: ip, command: c, done: make(chan struct{}), role: role}
	go func() { c.Wait(); close(p.done) }()
	w.processes = append(w.processes, p)
	w.Record.Add("%s started", name)
	return p, nil
}

// Signal sends a signal to a process and waits for its end, if it ends it.
func (w *World) Signal(p *Process, s syscall.Signal) {
	w.Record.Add("%s gets %s", p.Name, s)
	p.command.Process.Signal(s)
	select {
	case <-p.done:
		w.Record.Add("%s has ended", p.Name)
	case <-time.After(graceS * time.Second):
		p.command.Process.Kill()
		<-p.done
		w.Record.Add("%s killed after the grace period", p.Name)
	}
}

// Close kills all processes that the case started and removes its folder.
func (w *World) Close() {
	for _, p := range w.processes {
		p.command.Process.Kill()
		<-p.done
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		os.Rename(w.dir, keep)
		return
	}
	os.RemoveAll(w.dir)
}

// Started is called by the minions for each task that they start.
func (w *World) Started(t *Task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks = append(w.tasks, t)
}

// Tasks returns all tasks that the minions have started so far.
func (w *World) Tasks() []*Task {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Task(nil), w.tasks...)
}

// Minion starts a minion on a machine, or a new incarnation of it.
func (w *World) Minion(machine int, id string, k Kind, listenPort int, control string) (*Minion, error) {
	ip := w.ip(machine)
	return NewMinion(&Minion{ID: id, Kind: k, App: w.address(ip, portApp), Control: control, Zone: "zone-a"},
		w.address(ip, listenPort), w.Record, w.Started)
}

// AwaitReady waits until an entry reports that it is ready.
func (w *World) AwaitReady(p *Process) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 150 {
		resp, err := client.Get("http://" + w.address(p.IP, portReady) + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				w.Record.Add("%s is ready", p.Name)
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after 15 s", p.Name)
}

// Answer is the response to a client's request. Status is zero if there is none.
type Answer struct {
	Status int
	Body   string
	State  string
	Err    error
	At     int64
}

// Job is a best-effort job of one step, or of two.
type Job struct {
	ID    string
	Count int
	// Then is the number of tasks of a second step after the first; zero for none.
	Then int
	Spec Spec
}

func (j Job) body() []byte {
	step := map[string]any{"count": j.Count, "cpu": j.Spec.CPU, "mem-mb": 64, "estimated-ms": j.Spec.WorkMS}
	if j.Spec.Label != "" {
		step["requirements"] = j.Spec.Label
	}
	steps := []any{step}
	if j.Then > 0 {
		second := maps.Clone(step)
		second["count"], second["after"] = j.Then, []int{0}
		steps = append(steps, second)
	}
	body, _ := json.Marshal(map[string]any{"spec": j.Spec.String(), "steps": steps, "best-effort": true})
	return body
}

func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// Submit hands in a job and waits for its answer for up to deadlineMS.
func (w *World) Submit(p *Process, j Job, deadlineMS int) Answer {
	return w.request(http.MethodPost, p, j.ID, j.body(), deadlineMS)
}

// Cancel cancels a job.
func (w *World) Cancel(p *Process, id string) Answer {
	return w.request(http.MethodDelete, p, id, nil, 5000)
}

func (w *World) request(method string, p *Process, id string, body []byte, deadlineMS int) Answer {
	client := &http.Client{Timeout: time.Duration(deadlineMS) * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+w.address(p.IP, portCallers)+prefix+id, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = queueHost
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadlineMS))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	w.Record.Add("client: %s %s to %s %s", method, id, p.Name, body)
	a := Answer{}
	resp, err := client.Do(req)
	if err != nil {
		a.Err = err
	} else {
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		a.Status, a.Body, a.Err = resp.StatusCode, strings.TrimSpace(string(text)), err
		state := struct {
			State string `json:"state"`
		}{}
		json.Unmarshal(text, &state)
		a.State = state.State
	}
	a.At = w.Record.Now()
	if a.Err != nil {
		w.Record.Add("client: %s %s: no answer", method, id)
	} else {
		w.Record.Add("client: %s %s answered %d %q", method, id, a.Status, a.Body)
	}
	return a
}
