package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// vm is a process of the system on one machine.
type vm struct {
	name, ip, clients, ready, directory string
	settings                            string
	command                             *exec.Cmd
	exited                              chan struct{}
}

// fleet is the system beside its stand-ins.
type fleet struct {
	record  *record
	store   *store
	workers []*worker
	vms     []*vm
	binary  string
	dir     string
	// claim keeps the ports of the machines from other cases.
	claim   net.Listener
	next    atomic.Int64
	version int
}

const host = "nony24.example"

// seedsOf is the number of machines that the settings name.
const seedsOf = 3

func newFleet(r *record) (*fleet, error) {
	binary, err := filepath.Abs("target/rosemary-ingress")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s, err := newStore(r)
	if err != nil {
		return nil, err
	}
	return &fleet{record: r, store: s, binary: binary, dir: dir}, nil
}

const (
	// firstPort and lastPort bound the ports of the machines. They lie below those that the kernel picks for outgoing connections.
	firstPort = 20000
	lastPort  = 31000
	// portBlock is the number of ports that a case claims at a time, by listening on the first of them.
	portBlock = 16
)

// claimPorts returns ports that are free for TCP and UDP on the addresses of all machines. The listener keeps other cases from the same
// ports until it is closed.
func claimPorts(count, machines int) ([]int, net.Listener, error) {
	for first := firstPort; first < lastPort; first += portBlock {
		claim, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", first))
		if err != nil {
			continue
		}
		var ports []int
		for port := first + 1; port < first+portBlock && len(ports) < count; port++ {
			if isFree(port, machines) {
				ports = append(ports, port)
			}
		}
		if len(ports) == count {
			return ports, claim, nil
		}
		_ = claim.Close()
	}
	return nil, nil, fmt.Errorf("no block with %d free ports", count)
}

func isFree(port, machines int) bool {
	for i := range machines {
		address := fmt.Sprintf("127.0.0.%d:%d", i+1, port)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			return false
		}
		_ = l.Close()
		p, err := net.ListenPacket("udp4", address)
		if err != nil {
			return false
		}
		_ = p.Close()
	}
	return true
}

// configure writes a configuration as the operator does.
func (f *fleet) configure(routes ...map[string]any) {
	f.version += 3
	value, _ := json.Marshal(map[string]any{
		"version":  f.version,
		"routes":   routes,
		"services": []map[string]any{{"name": "lm", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": slots, "kv_cache_tokens": 101495}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	f.store.put("op", "config", value)
	f.record.log("operator", "configuration %s", value)
}

func streamRoute(prefix string, attempts int, resumable bool) map[string]any {
	return map[string]any{"name": "r" + strings.Trim(prefix, "/"), "host": host, "path_prefix": prefix, "route_kind": "streaming", "timeout_ms": 5000, "goal_ms": 300, "priority": 0,
		"service": "lm", "max_attempts": attempts, "sticky": true, "resumable": resumable, "gap_target_ms": 400}
}

func batchRoute(prefix string) map[string]any {
	return map[string]any{"name": "r" + strings.Trim(prefix, "/"), "host": host, "path_prefix": prefix, "route_kind": "batch", "timeout_ms": 15000, "goal_ms": 500, "priority": 2,
		"service": "lm", "max_attempts": 3, "run_target_ms": 18000, "retention_s": 60, "cap": 1500000, "sticky": true, "resumable": true, "gap_target_ms": 400}
}

// startWorkers starts workers and registers them.
func (f *fleet) startWorkers(count int, config workerConfig) error {
	for i := range count {
		w := &worker{workerConfig: config, record: f.record, store: f.store, service: "lm", name: fmt.Sprintf("w%d", i+1), zone: fmt.Sprintf("z%d", i%3+1)}
		f.workers = append(f.workers, w)
		if err := w.start(); err != nil {
			return err
		}
	}
	return nil
}

// startVMs starts the system's processes with the settings that the deploy file's template gives, and waits until they are ready.
func (f *fleet) startVMs(count int) error {
	ports, claim, err := claimPorts(6, count)
	if err != nil {
		return err
	}
	f.claim = claim
	var seeds []string
	for i := range min(count, seedsOf) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("127.0.0.%d:%d", i+1, ports[5])))
	}
	for i := range count {
		ip := fmt.Sprintf("127.0.0.%d", i+1)
		at := func(n int) string { return fmt.Sprintf("%s:%d", ip, ports[n]) }
		v := &vm{name: fmt.Sprintf("front-z%d-%d", i%3+1, i/3+1), ip: ip, clients: at(0), ready: at(1), directory: at(2)}
		v.settings = filepath.Join(f.dir, v.name+".yaml")
		content := fmt.Sprintf(`vm:
  name: %q
  availability_zone: "z%d"
  region: "r"
store: %q
clients: %q
ready: %q
directory: %q
peers: %q
seeds: [%s]
metrics: %q
stop_grace: 8s
max_ttl: 5s
result_retention: 120s
capabilities: ["base","drain","config","cost","recover","batch","stream","engine","platform"]
memory_mb: 314
cpu_share: 0.8
core_speed: 1
`, v.name, i%3+1, f.store.address, v.clients, v.ready, v.directory, at(3), strings.Join(seeds, ","), at(4))
		if err := os.WriteFile(v.settings, []byte(content), 0o600); err != nil {
			return err
		}
		f.vms = append(f.vms, v)
		if err := f.startVM(v); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, v := range f.vms {
		for !f.isReady(v) || f.listed(v) < count {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// The machines take traffic some seconds after they start.
	time.Sleep(3 * time.Second)
	return nil
}

func (f *fleet) startVM(v *vm) error {
	v.command = exec.Command(f.binary)
	v.command.Env = []string{"PATH=" + os.Getenv("PATH"), "ROSEMARYDYKE_CONFIG=" + v.settings}
	// The processes end with this one.
	v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(f.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.command.Stdout, v.command.Stderr = log, log
	if err := v.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.exited = exited
	go func(c *exec.Cmd) {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}(v.command)
	f.record.log(v.name, "started, clients at %s", v.clients)
	return nil
}

func (f *fleet) isReady(v *vm) bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + v.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// listed returns the number of machines that a machine names to clients.
func (f *fleet) listed(v *vm) int {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + v.directory + "/api/resolve?name=" + host + "&region=r&zone=z1")
	if err != nil {
		return 0
	}
	defer func() { _ = r.Body.Close() }()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	return len(body.Addresses)
}

// close ends all processes that were started, and removes the temporary folder.
func (f *fleet) close() {
	for _, v := range f.vms {
		if v.command != nil && v.command.Process != nil {
			_ = v.command.Process.Kill()
			<-v.exited
		}
	}
	for _, w := range f.workers {
		w.close()
	}
	_ = f.store.server.Close()
	if f.claim != nil {
		_ = f.claim.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		f.record.log("kit", "logs in %s", f.dir)
	}
}

// answer is what a client received.
type answer struct {
	status int
	body   []byte
	header http.Header
	// err is the reason why the answer is not complete.
	err error
}

// call sends a request on a new channel.
func call(ctx context.Context, address, method, path string, header map[string]string, body []byte) answer {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	stopped := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stopped()
	var request bytes.Buffer
	fmt.Fprintf(&request, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", method, path, host, len(body))
	for name, value := range header {
		fmt.Fprintf(&request, "%s: %s\r\n", name, value)
	}
	request.WriteString("\r\n")
	request.Write(body)
	if _, err := conn.Write(request.Bytes()); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: content, header: response.Header, err: err}
}

// newID returns an ID that no other request has.
func (f *fleet) newID(prefix string) string { return fmt.Sprintf("%s%08x", prefix, f.next.Add(1)) }

// item is an item of a batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// submit hands in a batch job until it is accepted, at one machine after another.
func (f *fleet) submit(job string, prefix string, items []item) error {
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		return err
	}
	for attempt := range 5 {
		v := f.vms[attempt%len(f.vms)]
		ctx, cancel := context.WithTimeout(context.Background(), 5500*time.Millisecond)
		a := call(ctx, v.clients, "POST", prefix+job, map[string]string{"X-Attempt-Id": job, "Content-Type": "application/json", "X-Deadline-Ms": "4000"}, body)
		cancel()
		f.record.log("client", "job %s with %d items at %s: status %d %v", job, len(items), v.name, a.status, a.err)
		if a.status == http.StatusAccepted {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", job)
}

// result is a result of a batch job.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// results reads the results of a batch job from the start.
func (f *fleet) results(job string, v *vm) (total int, list []result, err error) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		a := call(ctx, v.clients, "GET", fmt.Sprintf("/api/lots/%s?after=%d", job, len(list)), nil, nil)
		cancel()
		if a.err != nil || a.status != http.StatusOK {
			return total, list, fmt.Errorf("status %d %w", a.status, a.err)
		}
		var page struct {
			Total   int      `json:"total"`
			Next    int      `json:"next"`
			Results []result `json:"results"`
		}
		if err := json.Unmarshal(a.body, &page); err != nil {
			return total, list, err
		}
		total = page.Total
		list = append(list, page.Results...)
		if len(page.Results) == 0 {
			return total, list, nil
		}
	}
}
