package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// fleet is the processes of one case.
type fleet struct {
	dir, root string
	store     *store
	workers   []*worker
	vms       []*vm
	began     time.Time
	record    *os.File

	mu   sync.Mutex
	runs []*run
}

// vm is a machine with one process of the system.
type vm struct {
	fleet                   *fleet
	name, ip                string
	clients, ready, control string
	settings                string
	mu                      sync.Mutex
	command                 *exec.Cmd
	exited                  chan struct{}
}

func newFleet(root, record string) *fleet {
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	file, err := os.Create(record)
	must(err)
	f := &fleet{dir: dir, root: root, began: time.Now(), record: file}
	f.store = newStore("127.0.0.1:0")
	return f
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteLocked(format, args...)
}

func (f *fleet) noteLocked(format string, args ...any) {
	fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

func (f *fleet) addRun(r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, r)
	f.noteLocked("worker %s of %s runs %s, path %s, after event %d", r.worker, r.service, r.id, r.path, r.after)
}

func (f *fleet) endRun(r *run, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.ended, r.endedAt = how, time.Now()
	f.noteLocked("worker %s of %s ends %s after %d events: %s", r.worker, r.service, r.id, r.sent, how)
}

// allRuns returns copies of the runs.
func (f *fleet) allRuns() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := make([]run, len(f.runs))
	for i, r := range f.runs {
		runs[i] = *r
	}
	return runs
}

// addWorker starts a worker and registers it.
func (f *fleet) addWorker(w *worker) *worker {
	w.fleet = f
	if w.address == "" {
		w.address = "127.0.0.1:0"
	}
	w.start()
	f.workers = append(f.workers, w)
	w.register("ready")
	return w
}

// freePort returns a port that is free on an address.
func freePort(ip string) int {
	listener, err := net.Listen("tcp4", ip+":0")
	must(err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// peerPort returns a port that is free on the addresses of all machines, for TCP and UDP.
func peerPort(n int) int {
	for {
		port, free := freePort(vmIP(0)), true
		for i := 0; i < n && free; i++ {
			address := fmt.Sprintf("%s:%d", vmIP(i), port)
			tcp, err := net.Listen("tcp4", address)
			if err != nil {
				free = false
				break
			}
			_ = tcp.Close()
			udp, err := net.ListenPacket("udp4", address)
			if err != nil {
				free = false
				break
			}
			_ = udp.Close()
		}
		if free {
			return port
		}
	}
}

func vmIP(i int) string { return fmt.Sprintf("127.0.0.%d", 11+i) }

// addVMs starts n machines. extra holds further lines of the settings.
func (f *fleet) addVMs(n int, extra string) {
	port := peerPort(n)
	for i := range n {
		ip := vmIP(i)
		v := &vm{fleet: f, name: fmt.Sprintf("front-z-%d", i+1), ip: ip}
		v.clients = fmt.Sprintf("%s:%d", ip, freePort(ip))
		v.ready = fmt.Sprintf("%s:%d", ip, freePort(ip))
		v.control = fmt.Sprintf("%s:%d", ip, freePort(ip))
		v.settings = fmt.Sprintf(`vm:
  name: %q
  availability_zone: "z"
  region: "r"
store: %q
clients: %q
ready: %q
directory: %q
peers: "%s:%d"
seeds: ["%s:8166"]
metrics: "%s:%d"
stop_grace: 8s
max_ttl: 5s
result_retention: 120s
capabilities: ["base","drain","config","cost","recover","batch","stream","engine","platform"]
memory_mb: 314
cpu_share: 0.8
core_speed: 1
max_fds: 8200
%s`, v.name, f.store.address(), v.clients, v.ready, v.control, ip, port, vmIP(0), ip, freePort(ip), extra)
		f.vms = append(f.vms, v)
	}
	for _, v := range f.vms {
		v.start()
	}
	for _, v := range f.vms {
		must(v.awaitReady(20 * time.Second))
	}
}

// start starts the process of the deploy file.
func (v *vm) start() {
	path := filepath.Join(v.fleet.dir, v.name+".yaml")
	must(os.WriteFile(path, []byte(v.settings), 0o600))
	log, err := os.OpenFile(filepath.Join(v.fleet.dir, v.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	must(err)
	defer func() { _ = log.Close() }()
	command := exec.Command("target/rosemary-ingress")
	command.Dir = v.fleet.root
	command.Env = []string{"ROSEMARYDYKE_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	// The process ends with this one, also if this one is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(command.Start())
	exited := make(chan struct{})
	v.mu.Lock()
	v.command, v.exited = command, exited
	v.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	v.fleet.note("%s started", v.name)
}

func (v *vm) signal(s syscall.Signal) {
	v.fleet.note("%s gets %s", v.name, s)
	_ = v.command.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	<-v.exited
}

func (v *vm) awaitReady(limit time.Duration) error {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + v.ready + "/api/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", v.name)
}

// close ends all processes.
func (f *fleet) close() {
	for _, v := range f.vms {
		if v.command != nil {
			// A stopped process is killed, too.
			_ = v.command.Process.Kill()
			<-v.exited
		}
	}
	for _, w := range f.workers {
		w.crash()
	}
	_ = f.store.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
	_ = f.record.Close()
}

const host = "nony24.example"

// route returns a route of the configuration.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{"name": name, "host": host, "path_prefix": prefix, "route_kind": kind, "service": service,
		"timeout_ms": 5000, "goal_ms": 300, "gap_target_ms": 400, "max_attempts": 2, "priority": 0}
	for k, v := range more {
		r[k] = v
	}
	return r
}

func batchRoute(name, prefix, service string, capTokens int) map[string]any {
	return route(name, prefix, "batch", service, map[string]any{"goal_ms": 500, "timeout_ms": 15000, "max_attempts": 3, "priority": 2,
		"run_target_ms": 18000, "retention_s": 60, "cap": capTokens, "resumable": true})
}

func (f *fleet) configure(version int, services []string, routes []map[string]any, more map[string]any) {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health_path": "/health", "max_conns": 370})
	}
	config := map[string]any{"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 65536, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 10000}}
	for k, v := range more {
		config[k] = v
	}
	f.store.put("op", "config", config)
	f.note("operator: configuration %d acknowledged", version)
}

// answer is a response to a client.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request on a new connection.
func call(ctx context.Context, method, address, path string, header map[string]string, body string) answer {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	must(err)
	request.Host = host
	for k, v := range header {
		request.Header.Set(k, v)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(content), err: err}
}

// jobBody returns the body of a batch job with n items.
func jobBody(job, prefix string, n, tokens int) (string, []string) {
	var items []map[string]any
	var ids []string
	for i := range n {
		id := fmt.Sprintf("%sx%02d", job, i)
		ids = append(ids, id)
		items = append(items, map[string]any{"id": id, "path": prefix + "3/" + id, "tokens": tokens,
			"headers": map[string]string{"X-Model": "m", "X-Token-Count": fmt.Sprintf("%d,%d", tokens/2, tokens/2), "X-Prompt-Prefix": "9c2e41:100," + id + ":250"},
			"body":    base64.StdEncoding.EncodeToString([]byte("body of " + id))})
	}
	content, err := json.Marshal(map[string]any{"items": items})
	must(err)
	return string(content), ids
}

// submit sends a batch job once.
func (f *fleet) submit(v *vm, prefix, job, body string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a := call(ctx, http.MethodPost, v.clients, prefix+job, map[string]string{"X-Attempt-Id": job, "Content-Type": "application/json"}, body)
	f.note("client sends batch job %s to %s: status %d, %v %s", job, v.name, a.status, a.err, strings.TrimSpace(short(a.body)))
	return a
}

func short(s string) string {
	if len(s) > 120 {
		return s[:120] + "..."
	}
	return s
}

type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

type results struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// read reads results from a position.
func (f *fleet) read(v *vm, job string, after int) (results, answer) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	a := call(ctx, http.MethodGet, v.clients, fmt.Sprintf("/api/lots/%s?after=%d", job, after), nil, "")
	var r results
	if a.status == http.StatusOK {
		_ = json.Unmarshal([]byte(a.body), &r)
	}
	return r, a
}
