package main

import (
	"bufio"
	"fmt"
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

// world is one small deployment: the store, workers with their agents, and entries.
type world struct {
	trouble bool
	started time.Time
	dir     string // temporary folder with the logs of the processes

	mu     sync.Mutex
	record *os.File
	runs   []*interval

	commands map[string][]string // words of the run line of each role in the deploy file
	port     int                 // first of the ports, which are the same on all hosts
	store    *store
	entries  []*process
	agents   []*process
	workers  []*worker
}

// bWorkers is the number of workers of kind "b".
const bWorkers = 2

// Offsets of the ports from world.port.
const (
	portCallers = iota
	portReadiness
	portControl
	portLink
	portWorker
	portStore
	portCount
)

// The names in the configuration that the stand-in of the operator writes.
const (
	queueHost = "nony24.example"
	prefix    = "/lohu930/"
	service   = "huvo11a"
)

const (
	restartDelay = 300 * time.Millisecond
	startTimeout = 15 * time.Second
)

func newWorld(recordPath string, trouble bool) (*world, error) {
	w := &world{trouble: trouble, started: time.Now()}
	var err error
	if w.record, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review-*"); err != nil {
		return nil, err
	}
	w.commands, err = deployCommands("deploy/system.toml")
	return w, err
}

// deployCommands reads the run line of each role from the deploy file.
func deployCommands(path string) (map[string][]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	role, commands := "", map[string][]string{}
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line := strings.TrimSpace(lines.Text())
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(name, "]")
		}
		if command, ok := strings.CutPrefix(line, "run = "); ok {
			commands[role] = strings.Fields(strings.Trim(command, `"`))
		}
	}
	if commands["entry"] == nil || commands["agent"] == nil {
		return nil, fmt.Errorf("%s: no run line for entry or agent", path)
	}
	return commands, nil
}

// note writes a line to the record, with the seconds since the start.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) close() {
	for _, p := range append(append([]*process{}, w.entries...), w.agents...) {
		p.end()
	}
	for _, x := range w.workers {
		x.crash()
	}
	if w.store != nil {
		w.store.server.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(w.dir)
	} else {
		w.note("logs: kept")
		fmt.Fprintln(os.Stderr, w.dir)
	}
	w.record.Close()
}

// network is the second byte of all addresses. It differs between cases that run at once.
var network = 20 + os.Getpid()%200

func entryIP(i int) string { return fmt.Sprintf("127.%d.1.%d", network, i+1) }

func agentIP(i int) string { return fmt.Sprintf("127.%d.2.%d", network, i+1) }

func storeIP() string { return fmt.Sprintf("127.%d.3.1", network) }

func (w *world) address(ip string, offset int) string { return fmt.Sprintf("%s:%d", ip, w.port+offset) }

// choosePorts finds consecutive ports that are free on all hosts.
func (w *world) choosePorts(ips []string) {
	for attempt := 0; attempt < 200; attempt++ {
		l, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			panic(err)
		}
		w.port = l.Addr().(*net.TCPAddr).Port
		l.Close()
		if w.port+portCount < 65536 && w.portsFree(ips) {
			return
		}
	}
	panic("no free ports")
}

func (w *world) portsFree(ips []string) bool {
	for _, ip := range ips {
		for offset := range portCount {
			l, err := net.Listen("tcp", w.address(ip, offset))
			if err != nil {
				return false
			}
			l.Close()
		}
		u, err := net.ListenPacket("udp4", w.address(ip, portLink))
		if err != nil {
			return false
		}
		u.Close()
	}
	return true
}

// start starts a deployment with the given numbers of entries and workers, and waits until
// every entry is ready and every worker has run a task.
func (w *world) start(entries, workers int) {
	ips := []string{storeIP()}
	for i := range entries {
		ips = append(ips, entryIP(i))
	}
	for i := range workers {
		ips = append(ips, agentIP(i))
	}
	w.choosePorts(ips)
	w.store = newStore(w.address(storeIP(), portStore))
	w.store.append("keyed.op", 0, "config", w.config(7))
	for i := range entries {
		w.entries = append(w.entries, w.startProcess("entry", fmt.Sprintf("frontend-%d", i+1), entryIP(i)))
	}
	for i := range workers {
		x := newWorker(w, fmt.Sprintf("i-%08d", i+1), agentIP(i))
		if i >= workers-bWorkers {
			x.kind = "b"
		}
		w.workers = append(w.workers, x)
		x.start(0)
		w.agents = append(w.agents, w.startProcess("agent", fmt.Sprintf("side-%d", i+1), agentIP(i)))
	}
	w.awaitReady()
}

// awaitReady waits until every entry is ready and links have settled.
func (w *world) awaitReady() {
	deadline := time.Now().Add(startTimeout)
	for _, e := range w.entries {
		for !w.ready(e.ip) {
			if time.Now().After(deadline) {
				panic("an entry does not become ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2500 * time.Millisecond)
}

func (w *world) ready(ip string) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + w.address(ip, portReadiness) + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// config returns the operator's configuration. Its shape is that of the platform's pages.
func (w *world) config(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-3hwrr6x","host":%q,"path-prefix":%q,"kind":"unsafe",`+
		`"timeout-ms":60000,"slo-ms":60,"priority":0,"service":%q,"max-attempts":3,"stretch":1.6}],`+
		`"services":[{"name":%q,"health-path":"/health","max-connections":64,"protocol":"h1","tls":false,`+
		`"admission-control":true,"spare":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,`+
		`"header-timeout-ms":3000,"idle-timeout-ms":15000}}`, version, queueHost, prefix, service, service)
}

// process is one of the project's programs. It is started again whenever it ends.
type process struct {
	name, ip string
	args     []string
	log      *os.File
	world    *world

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	done     chan struct{}
}

var placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)

// startProcess starts a role with its command of the deploy file.
func (w *world) startProcess(role, name, ip string) *process {
	seeds := []string{}
	for i := range 3 {
		seeds = append(seeds, w.address(entryIP(i), portControl))
	}
	values := map[string]string{
		"node-name": name, "zone": "lisboa-a", "region": "pt-centro", "ip": ip,
		"listen-addrs.frontend": w.address(ip, portCallers), "listen-addrs.ready": w.address(ip, portReadiness),
		"listen-addrs.control": w.address(ip, portControl), "internal-ports.0": fmt.Sprint(w.port + portLink),
		"seeds": strings.Join(seeds, ","), "platform.address": w.address(storeIP(), portStore), "platform.parts": "24",
		"app": w.address(ip, portWorker), "bounds.hold-max-ms": "1000", "bounds.resend-ms": "1300", "bounds.grace-s": "6",
	}
	p := &process{name: name, ip: ip, world: w, done: make(chan struct{})}
	for _, word := range w.commands[role] {
		p.args = append(p.args, placeholder.ReplaceAllStringFunc(word, func(m string) string {
			v, ok := values[strings.Trim(m, "{}")]
			if !ok {
				panic("no value for " + m)
			}
			return v
		}))
	}
	var err error
	if p.log, err = os.Create(filepath.Join(w.dir, name+".log")); err != nil {
		panic(err)
	}
	ready := make(chan struct{})
	go p.keepRunning(ready)
	<-ready
	return p
}

// keepRunning runs the process until end is called.
func (p *process) keepRunning(ready chan<- struct{}) {
	defer close(p.done)
	for {
		cmd := exec.Command(p.args[0], p.args[1:]...)
		cmd.Stdout, cmd.Stderr = p.log, p.log
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		p.mu.Lock()
		if p.stopping {
			p.mu.Unlock()
			return
		}
		err := cmd.Start()
		if err == nil {
			p.cmd = cmd
		}
		p.mu.Unlock()
		if ready != nil {
			close(ready)
			ready = nil
		}
		if err != nil {
			p.world.note("%s does not start: %v", p.name, err)
			return
		}
		p.world.note("%s started", p.name)
		err = cmd.Wait()
		p.world.note("%s ended: %v", p.name, err)
		if !p.isStopping() {
			time.Sleep(restartDelay)
		}
	}
}

func (p *process) isStopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopping
}

// signal sends a signal to the process, by its id.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Signal(s)
	}
}

// end kills the process and waits for its end.
func (p *process) end() {
	p.mu.Lock()
	p.stopping = true
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Kill()
	}
	p.mu.Unlock()
	<-p.done
	p.log.Close()
}
