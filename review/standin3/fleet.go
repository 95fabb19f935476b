// Command standin3 plays the cases 11 to 15 of the review: it starts the VMs of a small deployment as processes, with stand-ins for the
// platform, the targets and the clients, and checks one rule by what these see.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

const (
	host = "a.example"
	// program is the command of the deploy file, run in the repository's root.
	program = "target/rosemary-ingress"
	// stable is stable_ms of the small deployment.
	stable = 3 * time.Second
	// heartbeat is heartbeat_ms: a target's row is removed after three of them without a sign of life.
	heartbeat = 1200 * time.Millisecond
)

// record writes record.txt, with the seconds since the start of the case.
type record struct {
	mu      sync.Mutex
	out     *bufio.Writer
	started time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// vm is the process of one VM.
type vm struct {
	name, clients, ready, directory, metrics string
	path                                     string
	command                                  *exec.Cmd
	exited                                   chan struct{}
}

// fleet is the platform's store and the VMs.
type fleet struct {
	*record
	dir    string
	state  *memory.Platform
	store  *http.Server
	vms    []*vm
	nextID atomic.Int64
}

// errSetup ends a case that can't run.
type errSetup struct{ error }

func check(err error) {
	if err != nil {
		panic(errSetup{err})
	}
}

// Ports are chosen below those that the kernel gives to connections, so that no connection takes one before its process listens.
const (
	firstPort = 15_000
	portCount = 15_000
)

// usedPorts are the ports that were chosen in this run.
var usedPorts = map[int]bool{}

// freePort returns a TCP and UDP port that nobody uses at some loopback addresses.
func freePort(ips ...string) int {
	for range 1000 {
		port := firstPort + rand.IntN(portCount)
		if usedPorts[port] || !isFree(port, ips) {
			continue
		}
		usedPorts[port] = true
		return port
	}
	panic(errSetup{errors.New("no free port")})
}

func isFree(port int, ips []string) bool {
	for _, ip := range ips {
		address := fmt.Sprintf("%s:%d", ip, port)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			return false
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp4", address)
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

func newFleet(r *record, config string) *fleet {
	dir, err := os.MkdirTemp("", "standin3")
	check(err)
	f := &fleet{record: r, dir: dir, state: memory.New()}
	f.put(platform.OperatorTable, platform.ConfigKey, config)
	f.printf("operator writes the configuration %s", strings.Join(strings.Fields(config), " "))
	return f
}

// serveStore serves the store on a free loopback address, which it returns.
func (f *fleet) serveStore() string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	f.store = &http.Server{Handler: platform.NewStoreHandler(f.state)}
	go func() { _ = f.store.Serve(listener) }()
	return listener.Addr().String()
}

// startVMs starts VMs on 127.0.0.1 and so on, and waits until each knows all others. If they don't, another process may have taken one of
// their ports, and they are started once more with others.
func (f *fleet) startVMs(n int) {
	store := f.serveStore()
	for range 3 {
		f.tryVMs(n, store)
		if f.awaitVMs() {
			f.printf("all VMs are ready")
			return
		}
		f.printf("the VMs do not become ready")
		f.stopVMs()
	}
	panic(errSetup{errors.New("the VMs do not become ready")})
}

func vmIP(i int) string { return fmt.Sprintf("127.0.0.%d", i+1) }

// tryVMs starts the processes of n VMs, which share the port for traffic between them.
func (f *fleet) tryVMs(n int, store string) {
	var ips, seeds []string
	for i := range n {
		ips = append(ips, vmIP(i))
	}
	peers := freePort(ips...)
	for _, ip := range ips[:min(n, 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip, peers)))
	}
	for i, ip := range ips {
		address := func() string { return fmt.Sprintf("%s:%d", ip, freePort(ip)) }
		v := &vm{name: fmt.Sprintf("front-%d", i+1), clients: address(), ready: address(), directory: address(), metrics: address()}
		settings := fmt.Sprintf(`vm: {name: %s, availability_zone: z%d, region: r}
store: %q
clients: %q
ready: %q
directory: %q
peers: "%s:%d"
seeds: [%s]
metrics: %q
stop_grace: 8s
max_ttl: 5s
result_retention: 120s
capabilities: [base, drain, config, cost, recover, batch, stream, engine, platform]
memory_mb: 314
cpu_share: 0.8
core_speed: 1
max_fds: 8200
`, v.name, i+1, store, v.clients, v.ready, v.directory, ip, peers, strings.Join(seeds, ","), v.metrics)
		v.path = filepath.Join(f.dir, v.name+".yaml")
		check(os.WriteFile(v.path, []byte(settings), 0o600))
		f.vms = append(f.vms, v)
		f.start(v)
	}
}

func (f *fleet) start(v *vm) {
	log, err := os.OpenFile(filepath.Join(f.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	v.command = exec.Command(program)
	v.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "ROSEMARYDYKE_CONFIG=" + v.path}
	v.command.Stdout, v.command.Stderr = log, log
	v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(v.command.Start())
	v.exited = make(chan struct{})
	go func(exited chan struct{}, command *exec.Cmd) {
		err := command.Wait()
		f.printf("process of %s ended: %v", v.name, err)
		close(exited)
		_ = log.Close()
	}(v.exited, v.command)
	f.printf("process of %s started, for clients at %s", v.name, v.clients)
}

// awaitVMs reports whether each VM becomes ready and lists all others.
func (f *fleet) awaitVMs() bool {
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		complete := true
		for _, v := range f.vms {
			complete = complete && len(f.listed(v)) == len(f.vms) && f.isReady(v)
		}
		if complete {
			return true
		}
	}
	return false
}

func (f *fleet) isReady(v *vm) bool {
	response, err := http.Get("http://" + v.ready + platform.PathReady)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *fleet) listed(v *vm) []string {
	response, err := http.Get("http://" + v.directory + platform.PathResolve + "?name=" + host + "&region=r&zone=z1")
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&body) != nil {
		return nil
	}
	return body.Addresses
}

func (f *fleet) anyVM() *vm { return f.vms[rand.IntN(len(f.vms))] }

// stopVMs ends the processes of all VMs.
func (f *fleet) stopVMs() {
	for _, v := range f.vms {
		_ = v.command.Process.Kill()
		<-v.exited
	}
	f.vms = nil
}

// stop ends all processes, and removes their files unless KEEP is set.
func (f *fleet) stop() {
	f.stopVMs()
	if f.store != nil {
		_ = f.store.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

func (f *fleet) put(table, key, value string) {
	_, err := f.state.Apply(context.Background(), rowstore.RowTxn{Writes: []rowstore.RowWrite{{RowKey: rowstore.RowKey{Table: table, Key: key}, Value: []byte(value)}}})
	check(err)
}

func (f *fleet) remove(table, key string) {
	_, err := f.state.Apply(context.Background(), rowstore.RowTxn{Deletes: []rowstore.RowKey{{Table: table, Key: key}}})
	check(err)
}

// answer is what a client got.
type answer struct {
	status int
	seal   string
	body   string
	// err is set if the answer is not complete.
	err error
}

func (a answer) complete() bool { return a.err == nil && a.status == http.StatusOK }

// send sends a request on a channel of its own, and reads the whole answer.
func (f *fleet) send(v *vm, method, path, id string, body string, header map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 6500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+v.clients+path, strings.NewReader(body))
	check(err)
	r.Host, r.Close = host, true
	platform.SetAttempt(r.Header, id, 5000)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header.Get("X-Response-Seal"), string(content), err}
}

func (f *fleet) id(prefix string) string { return fmt.Sprintf("%s-%d", prefix, f.nextID.Add(1)) }

// background sends ordinary streams, each with a prompt of its own, to the route with this prefix at all VMs until ctx ends, and reports how they ended.
func (f *fleet) background(ctx context.Context, prefix string, perSecond int) (wait func()) {
	var clients sync.WaitGroup
	var complete, refused, failed atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			clients.Go(func() {
				id := f.id("o")
				switch a := f.send(f.anyVM(), http.MethodPost, prefix+id, id, "prompt of "+id, nil); {
				case a.complete():
					complete.Add(1)
				case a.status == http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					failed.Add(1)
				}
			})
		}
	}()
	return func() {
		<-done
		clients.Wait()
		f.printf("ordinary streams: %d complete, %d refused, %d failed", complete.Load(), refused.Load(), failed.Load())
	}
}
