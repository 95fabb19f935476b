package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/platformserver"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/internal/testports"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

const (
	// streamEvents and eventInterval make each stream last 250 ms.
	streamEvents  = 25
	eventInterval = 10 * time.Millisecond
	host          = "a.example"
	// waitTimeout bounds the wait for an expected condition.
	waitTimeout = 20 * time.Second
)

var binary, standinBinary string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "rosemary-ingress")
		if err != nil {
			panic(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		binary, standinBinary = filepath.Join(dir, "rosemary-ingress"), filepath.Join(dir, "rosemary-standin")
		if output, err := exec.Command("go", "build", "-o", dir, ".", "../rosemary-standin").CombinedOutput(); err != nil {
			panic(fmt.Sprintf("%v: %s", err, output))
		}
		if earlier := os.Getenv("ROSEMARYDYKE_INGRESS"); earlier != "" {
			// Plays a test against another build.
			binary = earlier
		}
		return m.Run()
	}())
}

// process is the ingress process of one VM.
type process struct {
	clients, ready, directory string
	// addresses are all TCP addresses of the process: for clients, ready, directory, metrics and peers.
	addresses []string
	command   *exec.Cmd
	exited    chan error
}

// fleet is three VMs on loopback addresses, two targets and a stand-in for the platform.
type fleet struct {
	t       *testing.T
	state   *memory.Platform
	store   string
	targets []*streamtarget.Target
	vms     []*process
	// peers is the port on which the VMs reach each other.
	peers  int
	nextID atomic.Int64
}

func startFleet(t *testing.T) *fleet { return startFleetOfVersions(t, "v1", "v1") }

// startFleetOfVersions starts a target of each version.
func startFleetOfVersions(t *testing.T, versions ...string) *fleet {
	f := &fleet{t: t, state: memory.New()}
	server := httptest.NewServer(platformserver.New(platformserver.Config{Memory: f.state}))
	t.Cleanup(server.Close)
	f.store = strings.TrimPrefix(server.URL, "http://")
	for i, version := range versions {
		f.addTarget(fmt.Sprintf("i-%d", i), version, streamEvents)
	}
	f.put(platform.OperatorTable, platform.ConfigKey, `{"version":1,"routes":[
	 {"name":"r","host":"a.example","path_prefix":"/s/","route_kind":"streaming","timeout_ms":5000,"goal_ms":300,"service":"s","max_attempts":2,"resumable":true,"gap_target_ms":400},
	 {"name":"b","host":"a.example","path_prefix":"/b/","route_kind":"batch","goal_ms":500,"service":"s","max_attempts":3,"run_target_ms":18000,"retention_s":60}],
	 "services":[{"name":"s","health_path":"/health"}],"limits":{"max_body_bytes":100000}}`)
	f.startVMs()
	return f
}

// startVMs starts three VMs, and waits until each knows all of them.
func (f *fleet) startVMs() {
	f.peers = testports.Port(f.t)
	f.vms = nil
	for i := range 3 {
		f.vms = append(f.vms, f.start(i, f.peers))
	}
	for _, vm := range f.vms {
		f.eventually("all VMs in the directory of "+vm.directory, func() bool { return len(f.addresses(vm)) == 3 })
	}
}

// addTarget starts a target and registers it.
func (f *fleet) addTarget(id, version string, events int) *streamtarget.Target {
	return f.startTarget(streamtarget.Config{ID: id, Version: version, Events: events, Interval: eventInterval})
}

func (f *fleet) startTarget(config streamtarget.Config) *streamtarget.Target {
	target := streamtarget.Start(config)
	f.t.Cleanup(target.Close)
	f.targets = append(f.targets, target)
	f.put(platform.TargetTable, target.ID(), fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","version":%q,"slots":8,"state":"ready"}`, target.Address(), config.Version))
	return target
}

// remove removes a target from the registry.
func (f *fleet) remove(target *streamtarget.Target) {
	_, err := f.state.Apply(context.Background(), rowstore.RowTxn{Deletes: []rowstore.RowKey{{Table: platform.TargetTable, Key: target.ID()}}})
	qt.Assert(f.t, err, qt.IsNil)
}

func (f *fleet) put(table, key, value string) {
	_, err := f.state.Apply(context.Background(), rowstore.RowTxn{Writes: []rowstore.RowWrite{{RowKey: rowstore.RowKey{Table: table, Key: key}, Value: []byte(value)}}})
	qt.Assert(f.t, err, qt.IsNil)
}

func (f *fleet) start(i, peers int) *process { return f.startWith(i, peers, "") }

// startLimited starts a further VM that may have a number of open descriptors.
func (f *fleet) startLimited(i int, settings string, descriptors int) *process {
	return f.startWith(i, f.peers, settings, "sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors))
}

// startWith starts a VM with more settings, by way of a command that gets its command line.
func (f *fleet) startWith(i, peers int, more string, command ...string) *process {
	ip := fmt.Sprintf("127.0.0.%d", i+1)
	p := &process{exited: make(chan error, 1)}
	address := func() string { return testports.Address(f.t, ip) }
	p.clients, p.ready, p.directory = address(), address(), address()
	metrics := address()
	p.addresses = []string{p.clients, p.ready, p.directory, metrics, fmt.Sprintf("%s:%d", ip, peers)}
	settings := fmt.Sprintf(`vm:
  name: vm-%d
  availability_zone: z
  region: r
store: %q
clients: %q
ready: %q
directory: %q
peers: "%s:%d"
seeds: ["127.0.0.1:1"]
metrics: %q
stop_grace: 8s
max_ttl: 1s
`, i, f.store, p.clients, p.ready, p.directory, ip, peers, metrics)
	path := filepath.Join(f.t.TempDir(), "settings.yaml")
	qt.Assert(f.t, os.WriteFile(path, []byte(settings+more), 0o600), qt.IsNil)
	command = append(command, binary, "--config", path)
	p.command = exec.Command(command[0], command[1:]...)
	log, err := os.Create(filepath.Join(f.t.TempDir(), "log"))
	qt.Assert(f.t, err, qt.IsNil)
	p.command.Stdout, p.command.Stderr = log, log
	qt.Assert(f.t, p.command.Start(), qt.IsNil)
	go func() { p.exited <- p.command.Wait() }()
	f.t.Cleanup(func() {
		// The process may have exited already.
		_ = p.command.Process.Kill()
		if content, err := os.ReadFile(log.Name()); err == nil && f.t.Failed() {
			f.t.Logf("log of vm-%d:\n%s", i, content)
		}
	})
	return p
}

func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for started := time.Now(); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Since(started) > waitTimeout {
			f.t.Fatalf("%s: condition not met within %s", what, waitTimeout)
		}
	}
}

func (f *fleet) addresses(vm *process) []string {
	response, err := http.Get("http://" + vm.directory + platform.PathResolve + "?name=a.example&region=r&zone=z")
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

// do sends a request on a connection of its own.
func (f *fleet) do(method, address, path, id, body string) (int, string, error) {
	return f.doWith(method, address, path, id, body, func(http.Header) {})
}

// doWith sends a request with more headers. The content may be incomplete if there is an error.
func (f *fleet) doWith(method, address, path, id, body string, addHeaders func(http.Header)) (int, string, error) {
	return f.doContext(context.Background(), method, address, path, id, body, addHeaders)
}

func (f *fleet) doContext(ctx context.Context, method, address, path, id, body string, addHeaders func(http.Header)) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Host, r.Close = host, true
	platform.SetAttempt(r.Header, id, 5000)
	addHeaders(r.Header)
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

// stream requests one stream and checks that it is complete.
func (f *fleet) stream(address string) error {
	id := fmt.Sprintf("q%d", f.nextID.Add(1))
	status, got, err := f.do(http.MethodPost, address, "/s/x", id, "prompt")
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("status %d: %w", status, err)
	}
	var want strings.Builder
	for i := range streamEvents {
		want.Write(platform.FormatEvent(int64(i), streamtarget.Data(id, i)))
	}
	if got != want.String() {
		return fmt.Errorf("stream %s is incomplete or wrong: %q", id, got)
	}
	return nil
}

func TestGracefulStopInterruptsNoRequest(t *testing.T) {
	f := startFleet(t)
	stopping := f.vms[1]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	failures := make(chan error, 1000)
	var clients sync.WaitGroup
	for range 4 {
		// These clients resolve the addresses each second, the TTL, and use only the cached ones in between.
		clients.Go(func() {
			for ctx.Err() == nil {
				addresses := f.addresses(f.vms[0])
				for started := time.Now(); time.Since(started) < time.Second && ctx.Err() == nil; {
					if err := f.stream(addresses[int(f.nextID.Load())%len(addresses)]); err != nil {
						failures <- err
					}
				}
			}
		})
	}
	time.Sleep(time.Second)
	stopStarted := time.Now()
	qt.Assert(t, stopping.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	f.eventually("the leaving VM out of the directory", func() bool { return len(f.addresses(f.vms[0])) == 2 })
	qt.Assert(t, time.Since(stopStarted) < time.Second, qt.IsTrue)
	response, err := http.Get("http://" + stopping.ready + platform.PathReady)
	qt.Assert(t, err, qt.IsNil)
	_ = response.Body.Close()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, <-stopping.exited, qt.IsNil)
	qt.Assert(t, time.Since(stopStarted) < 8*time.Second, qt.IsTrue)
	time.Sleep(500 * time.Millisecond)
	cancel()
	clients.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
}

// results reads the results of a job at a VM until there are n, and returns their texts by item.
func (f *fleet) results(job string, vm *process, n int) map[string]string {
	results := map[string]string{}
	f.eventually("all results of job "+job, func() bool {
		status, content, err := f.do(http.MethodGet, vm.clients, platform.ResultsURI(job, len(results)), "read", "")
		var body struct {
			Results []struct{ ID, State, Text string }
		}
		if err != nil || status != http.StatusOK || json.Unmarshal([]byte(content), &body) != nil {
			return false
		}
		for _, r := range body.Results {
			qt.Assert(f.t, results[r.ID], qt.Equals, "", qt.Commentf("%s is listed twice", r.ID))
			qt.Assert(f.t, r.State, qt.Equals, "completed")
			results[r.ID] = r.Text
		}
		return len(results) == n
	})
	return results
}

func TestJobSurvivesLossOfItsVM(t *testing.T) {
	f := startFleet(t)
	const items = 60
	list := make([]string, items)
	for i := range list {
		list[i] = fmt.Sprintf(`{"id":"i%d","path":"/b/%d","body":"","tokens":10}`, i, i)
	}
	status, _, err := f.do(http.MethodPost, f.vms[0].clients, "/b/j", "j", `{"items":[`+strings.Join(list, ",")+`]}`)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, http.StatusAccepted)
	time.Sleep(300 * time.Millisecond)
	qt.Assert(t, f.vms[0].command.Process.Kill(), qt.IsNil)
	results := f.results("j", f.vms[1], items)
	for id, text := range results {
		qt.Assert(t, text, qt.Equals, streamtarget.Text(id, streamEvents))
	}
	for range 10 {
		qt.Assert(t, f.stream(f.vms[2].clients), qt.IsNil)
	}
}

// versions returns the versions of the targets that ran a request.
func (f *fleet) versions(id string) []string {
	var versions []string
	for _, target := range f.targets {
		if target.Runs(id) > 0 {
			versions = append(versions, target.Version())
		}
	}
	return versions
}

func TestStreamsAreResumedAtTheirVersionAfterTheLossOfAVM(t *testing.T) {
	f := startFleetOfVersions(t, "v1", "v2", "v1", "v2")
	const streams = 24
	received := make([]string, streams)
	var clients sync.WaitGroup
	for i := range streams {
		clients.Go(func() {
			_, received[i], _ = f.do(http.MethodPost, f.vms[0].clients, "/s/x", fmt.Sprintf("first-%d", i), "prompt")
		})
	}
	time.Sleep(150 * time.Millisecond)
	qt.Assert(t, f.vms[0].command.Process.Kill(), qt.IsNil)
	clients.Wait()
	used := map[string]int{}
	for i := range streams {
		first, next := fmt.Sprintf("first-%d", i), fmt.Sprintf("next-%d", i)
		events := strings.Count(received[i], "\n\n")
		qt.Assert(t, events > 0 && events < streamEvents, qt.IsTrue, qt.Commentf("%d events of %s before the kill", events, first))
		status, content, err := f.doWith(http.MethodPost, f.vms[1+i%2].clients, "/s/x", next, "prompt", func(h http.Header) {
			platform.SetResume(h, first, int64(events-1))
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		qt.Assert(t, strings.Count(content, "\n\n"), qt.Equals, streamEvents-events)
		qt.Assert(t, f.versions(next), qt.DeepEquals, f.versions(first))
		used[f.versions(next)[0]]++
	}
	qt.Assert(t, used, qt.HasLen, 2)
}

// Clients resumed streams at another version than the one that began them after a loss of all VMs.
func TestStreamsAfterTheLossOfAllVMsGoOnAtTheirVersionOnly(t *testing.T) {
	const streams, events = 24, 100
	for _, test := range []struct {
		name   string
		before []string
		// replace registers targets of another version and removes those of the first.
		replace bool
		// goOn means that at least half of the streams have to go on.
		goOn bool
	}{
		{"both versions serve", []string{"v1", "v2", "v1", "v2"}, false, true},
		{"a single version serves", []string{"v1", "v1", "v1", "v1"}, false, true},
		{"the old version has just left", []string{"v1", "v1", "v1", "v1"}, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := startFleetOfVersions(t)
			for i, version := range test.before {
				f.addTarget(fmt.Sprintf("old-%d", i), version, events)
			}
			f.eventually("streams are served", func() bool {
				status, _, err := f.do(http.MethodPost, f.vms[0].clients, "/s/x", fmt.Sprintf("probe-%d", f.nextID.Add(1)), "prompt")
				return err == nil && status == http.StatusOK
			})
			received := make([]string, streams)
			var clients sync.WaitGroup
			for i := range streams {
				clients.Go(func() {
					_, received[i], _ = f.do(http.MethodPost, f.vms[i%3].clients, "/s/x", fmt.Sprintf("first-%d", i), "prompt")
				})
			}
			time.Sleep(600 * time.Millisecond)
			for _, vm := range f.vms {
				qt.Assert(t, vm.command.Process.Kill(), qt.IsNil)
			}
			clients.Wait()
			for _, vm := range f.vms {
				<-vm.exited
			}
			if test.replace {
				for _, target := range f.targets {
					f.remove(target)
				}
				for i := range 4 {
					f.addTarget(fmt.Sprintf("new-%d", i), "v2", events)
				}
			}
			f.startVMs()
			resumed := 0
			for i := range streams {
				first, next := fmt.Sprintf("first-%d", i), fmt.Sprintf("next-%d", i)
				begun := strings.Count(received[i], "\n\n")
				qt.Assert(t, begun > 0 && begun < events, qt.IsTrue, qt.Commentf("%d events of %s before the kill", begun, first))
				status, content, err := f.doWith(http.MethodPost, f.vms[(i+1)%3].clients, "/s/x", next, "prompt", func(h http.Header) {
					platform.SetResume(h, first, int64(begun-1))
				})
				qt.Assert(t, err, qt.IsNil)
				if status != http.StatusOK {
					qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
					qt.Assert(t, f.versions(next), qt.HasLen, 0)
					continue
				}
				resumed++
				qt.Assert(t, strings.Count(content, "\n\n"), qt.Equals, events-begun)
				qt.Assert(t, f.versions(next), qt.DeepEquals, f.versions(first))
			}
			if test.goOn {
				qt.Assert(t, 2*resumed >= streams, qt.IsTrue, qt.Commentf("%d of %d streams go on", resumed, streams))
			}
		})
	}
}

func TestInvalidSettingsAreReported(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	qt.Assert(t, os.WriteFile(path, []byte("vm:\n  name: x\n  availability_zone: z\n  region: r\nstore: nowhere\n"), 0o600), qt.IsNil)
	output, err := exec.Command(binary, "--config", path, "--check").CombinedOutput()
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, string(output), qt.Contains, "store")
}
