package fleettest

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/rosemarydyke/rosemarydyke/internal/devkeys"
	"github.com/rosemarydyke/rosemarydyke/internal/standin"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/batching"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/engine"
	"github.com/rosemarydyke/rosemarydyke/internal/testports"
)

const (
	apiKey      = "sk-test-caller"
	operatorKey = "sk-test-operator"
	model       = "drafting"
	// startTimeout and jobTimeout limit the wait for a fleet to start and for a job to end. They only end tests that
	// hang.
	startTimeout = time.Minute
	jobTimeout   = 3 * time.Minute
	pollInterval = 50 * time.Millisecond
	// maxFleets is the maximum number of concurrent fleets, each of which has nine processes.
	maxFleets = 5
	// vmListLag is the delay of the platform's VM list.
	vmListLag = time.Second
	// maxLogTail is the number of bytes at the end of each log that a failed test prints.
	maxLogTail = 2000
)

// fleetSemaphore limits the number of concurrent fleets to maxFleets.
var fleetSemaphore = make(chan struct{}, maxFleets)

var zones = []string{"az-a", "az-b", "az-c"}

// daemon is the name of one of a VM's three processes.
type daemon string

const (
	entryDaemon    daemon = "entry"
	batchDaemon    daemon = "batch"
	operatorDaemon daemon = "operator"
)

// vm is one entry VM.
type vm struct {
	name      string
	zone      string
	callers   string
	operators string
	peers     map[daemon]string
	status    map[daemon]string
	processes map[daemon]*process
}

// process is a running daemon.
type process struct {
	cmd *exec.Cmd
	// exited is closed when the process has exited, after err was set.
	exited chan struct{}
	err    error
}

// fleet consists of the processes of three entry VMs and of stand-ins in the test process.
type fleet struct {
	t         *testing.T
	directory string
	standin   *standin.Set
	vms       []*vm
}

// startFleet starts a fleet with three engines and waits until it is ready. The engines crash when they run a prompt
// that contains crashPrompt, if given. It blocks while maxFleets fleets are running.
func startFleet(t *testing.T, speed batching.Config, crashPrompt ...string) *fleet {
	fleetSemaphore <- struct{}{}
	t.Cleanup(func() { <-fleetSemaphore })
	f := &fleet{t: t, directory: t.TempDir()}
	for i, zone := range zones {
		f.vms = append(f.vms, newVM(t, fmt.Sprintf("vm-%d", i+1), zone))
	}
	cfg := standin.Config{VMListLag: vmListLag}
	for i, zone := range zones {
		cfg.Engines = append(cfg.Engines, engine.Config{
			Name: engineName(i), Model: model, AvailabilityZone: zone, Speed: speed, LoadLag: 200 * time.Millisecond,
			CrashPrompt: strings.Join(crashPrompt, " "), RestartAfter: time.Second,
		})
		cfg.EntryVMs = append(cfg.EntryVMs, standin.EntryVM{
			Name: f.vms[i].name, Address: f.vms[i].peers[entryDaemon], AvailabilityZone: zone,
		})
	}
	set, err := standin.Start(context.Background(), cfg)
	qt.Assert(t, err, qt.IsNil)
	f.standin = set
	t.Cleanup(set.Stop)
	t.Cleanup(f.stop)
	f.writeKeys()
	for _, v := range f.vms {
		f.start(v)
	}
	f.applySettings(f.settings(speed.Slots))
	f.waitFor(startTimeout, "the fleet to be ready", f.isReady)
	return f
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i+1) }

func newVM(t *testing.T, name, zone string) *vm {
	v := &vm{name: name, zone: zone, peers: map[daemon]string{}, status: map[daemon]string{}, processes: map[daemon]*process{}}
	v.callers = testports.Address(t, "127.0.0.1")
	v.operators = testports.Address(t, "127.0.0.1")
	for _, d := range []daemon{entryDaemon, batchDaemon, operatorDaemon} {
		v.peers[d] = testports.Address(t, "127.0.0.1")
		v.status[d] = testports.Address(t, "127.0.0.1")
	}
	return v
}

func (f *fleet) writeKeys() {
	names := make([]string, 0, len(f.vms))
	for _, v := range f.vms {
		names = append(names, v.name)
	}
	qt.Assert(f.t, devkeys.Generate(filepath.Join(f.directory, "keys"), names), qt.IsNil)
}

// start starts the three daemons of a VM.
func (f *fleet) start(v *vm) {
	common := fmt.Sprintf("vm: {name: %s, availability_zone: %s, region: r1}\nplatform: {url: %q}\ntls: {ca: \"%[4]s/ca.pem\", certificate: \"%[4]s/%[1]s.pem\", key: \"%[4]s/%[1]s.key\"}\n",
		v.name, v.zone, f.standin.PlatformURL(), filepath.Join(f.directory, "keys"))
	specific := map[daemon]string{
		entryDaemon:    fmt.Sprintf("callers: %s\nbatch_peers: %s\noperator_peers: %s\n", v.callers, v.peers[batchDaemon], v.peers[operatorDaemon]),
		batchDaemon:    fmt.Sprintf("entry: %s\n", v.peers[entryDaemon]),
		operatorDaemon: fmt.Sprintf("entry: %s\noperators: %s\nroot_key_sha256: %s\n", v.peers[entryDaemon], v.operators, digest(operatorKey)),
	}
	for d, text := range specific {
		addresses := fmt.Sprintf("status: %s\npeers: %s\n", v.status[d], v.peers[d])
		v.processes[d] = f.startProcess(v, d, common+addresses+text)
	}
}

func digest(key string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(key))) }

func (f *fleet) startProcess(v *vm, d daemon, settings string) *process {
	name := filepath.Join(f.directory, fmt.Sprintf("%s-%s", v.name, d))
	qt.Assert(f.t, os.WriteFile(name+".yaml", []byte(settings), 0o600), qt.IsNil)
	log, err := os.Create(name + ".log")
	qt.Assert(f.t, err, qt.IsNil)
	defer func() { _ = log.Close() }()
	p := &process{cmd: exec.Command(filepath.Join(binaries, "rosemary-"+string(d)), "--config", name+".yaml"), exited: make(chan struct{})}
	p.cmd.Stderr = log
	// A stopped process gets SIGHUP when its group is orphaned, as that of tests is when the shell that started them exits.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	qt.Assert(f.t, p.cmd.Start(), qt.IsNil)
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	return p
}

// signal sends a signal to the given daemons of a VM.
func (f *fleet) signal(v *vm, s syscall.Signal, daemons ...daemon) {
	for _, d := range daemons {
		qt.Assert(f.t, v.processes[d].cmd.Process.Signal(s), qt.IsNil)
	}
}

// kill kills all daemons of a VM.
func (f *fleet) kill(v *vm) {
	f.signal(v, syscall.SIGKILL, entryDaemon, batchDaemon, operatorDaemon)
}

// stop kills all processes. If the test has failed, it prints the ends of their logs.
func (f *fleet) stop() {
	for _, v := range f.vms {
		for _, p := range v.processes {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
	if !f.t.Failed() {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(f.directory, "*.log"))
	for _, name := range logs {
		content, _ := os.ReadFile(name)
		f.t.Logf("%s:\n%s", filepath.Base(name), content[max(0, len(content)-maxLogTail):])
	}
}

// settings returns the fleet's settings as YAML, without the named engines.
func (f *fleet) settings(slots int, without ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "fleet/models/%s: {max_tokens: 100000}\n", model)
	fmt.Fprintf(&text, "teams/dispatch/clients/desk: {key_sha256: [%s]}\n", digest(apiKey))
	for i, e := range f.standin.Engines {
		if !slices.Contains(without, engineName(i)) {
			fmt.Fprintf(&text, "fleet/targets/%s: {address: %q, availability_zone: %s, model: %s, slots: %d}\n",
				engineName(i), e.Address(), zones[i], model, slots)
		}
	}
	return text.String()
}

func (f *fleet) applySettings(text string) {
	f.waitFor(startTimeout, "the settings to be accepted", func() bool {
		request, err := http.NewRequest(http.MethodPut, "http://"+f.vms[0].operators+"/v1/settings", bytes.NewBufferString(text))
		qt.Assert(f.t, err, qt.IsNil)
		request.Header.Set("Authorization", "Bearer "+operatorKey)
		status, body := f.do(request)
		if status == http.StatusUnprocessableEntity || status == http.StatusBadRequest {
			f.t.Fatalf("settings: %s", body)
		}
		return status == http.StatusOK
	})
}

// do sends a request. If there is no response, it returns status 0 and the error's text.
func (f *fleet) do(request *http.Request) (status int, body string) {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	var content bytes.Buffer
	_, _ = content.ReadFrom(response.Body)
	return response.StatusCode, content.String()
}

// isReady reports whether every entry serves a chat completion and every batch process is ready.
func (f *fleet) isReady() bool {
	for _, v := range f.vms {
		for _, d := range []daemon{entryDaemon, batchDaemon} {
			request, err := http.NewRequest(http.MethodGet, "http://"+v.status[d]+"/readyz", nil)
			qt.Assert(f.t, err, qt.IsNil)
			if status, _ := f.do(request); status != http.StatusOK {
				return false
			}
		}
		if _, err := f.chat(f.t.Context(), v, "ready?", 1); err != nil {
			return false
		}
	}
	return true
}

// waitFor polls until condition holds, and fails the test after timeout.
func (f *fleet) waitFor(timeout time.Duration, what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			f.t.Fatalf("waited %v for %s", timeout, what)
		}
	}
}

func (f *fleet) client(v *vm) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+v.callers+"/v1"), option.WithAPIKey(apiKey), option.WithMaxRetries(0))
}

func (f *fleet) chat(ctx context.Context, v *vm, prompt string, maxTokens int64) (string, error) {
	client := f.client(v)
	completion, err := client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{
		Model:     model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxTokens: openai.Int(maxTokens),
	})
	if err != nil {
		return "", err
	}
	return completion.Choices[0].Message.Content, nil
}
