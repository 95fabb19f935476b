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
	// startBound and endBound end the wait for a fleet and for a job. They only end tests that hang.
	startBound = time.Minute
	endBound   = 3 * time.Minute
	poll       = 50 * time.Millisecond
	// maxFleets bounds the fleets that run at once: nine processes each.
	maxFleets = 5
	// listLag is how late the platform's VM list is.
	listLag = time.Second
	// logTail is how much of each log a failed test prints.
	logTail = 2000
)

// fleets holds one element for each fleet that runs.
var fleets = make(chan struct{}, maxFleets)

var zones = []string{"az-a", "az-b", "az-c"}

// daemon names one of a VM's three processes.
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
	// ended is closed when the process has ended, after err was set.
	ended chan struct{}
	err   error
}

// fleet is three entry VMs as processes and stand-ins inside the test.
type fleet struct {
	t         *testing.T
	directory string
	standin   *standin.Set
	vms       []*vm
}

// startFleet starts a fleet with three engines, which crash when they run a prompt with the poison, if there is
// one. It waits while too many run already.
func startFleet(t *testing.T, speed batching.Config, poison ...string) *fleet {
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	f := &fleet{t: t, directory: t.TempDir()}
	for i, zone := range zones {
		f.vms = append(f.vms, newVM(t, fmt.Sprintf("vm-%d", i+1), zone))
	}
	cfg := standin.Config{VMListLag: listLag}
	for i, zone := range zones {
		cfg.Engines = append(cfg.Engines, engine.Config{
			Name: engineName(i), Model: model, AvailabilityZone: zone, Speed: speed, LoadLag: 200 * time.Millisecond,
			CrashPrompt: strings.Join(poison, " "), RestartAfter: time.Second,
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
	f.await(startBound, "the fleet to be ready", f.isReady)
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
	special := map[daemon]string{
		entryDaemon:    fmt.Sprintf("callers: %s\nbatch_peers: %s\noperator_peers: %s\n", v.callers, v.peers[batchDaemon], v.peers[operatorDaemon]),
		batchDaemon:    fmt.Sprintf("entry: %s\n", v.peers[entryDaemon]),
		operatorDaemon: fmt.Sprintf("entry: %s\noperators: %s\nroot_key_sha256: %s\n", v.peers[entryDaemon], v.operators, digest(operatorKey)),
	}
	for d, text := range special {
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
	p := &process{cmd: exec.Command(filepath.Join(binaries, "rosemary-"+string(d)), "--config", name+".yaml"), ended: make(chan struct{})}
	p.cmd.Stderr = log
	qt.Assert(f.t, p.cmd.Start(), qt.IsNil)
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	return p
}

// signal sends a signal to some daemons of a VM.
func (f *fleet) signal(v *vm, s syscall.Signal, daemons ...daemon) {
	for _, d := range daemons {
		qt.Assert(f.t, v.processes[d].cmd.Process.Signal(s), qt.IsNil)
	}
}

// kill kills all daemons of a VM.
func (f *fleet) kill(v *vm) {
	f.signal(v, syscall.SIGKILL, entryDaemon, batchDaemon, operatorDaemon)
}

// stop kills all processes and prints the ends of their logs when the test has failed.
func (f *fleet) stop() {
	for _, v := range f.vms {
		for _, p := range v.processes {
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
	}
	if !f.t.Failed() {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(f.directory, "*.log"))
	for _, name := range logs {
		content, _ := os.ReadFile(name)
		f.t.Logf("%s:\n%s", filepath.Base(name), content[max(0, len(content)-logTail):])
	}
}

// settings returns the fleet's settings without the named engines.
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
	f.await(startBound, "the settings to be accepted", func() bool {
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

// do returns status 0 when there is no answer.
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

// isReady reports whether every entry answers a chat and every batch process is ready.
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

// await polls until condition holds.
func (f *fleet) await(bound time.Duration, what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(bound); !condition(); time.Sleep(poll) {
		if time.Now().After(deadline) {
			f.t.Fatalf("waited %v for %s", bound, what)
		}
	}
}

func (f *fleet) client(v *vm) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+v.callers+"/v1"), option.WithAPIKey(apiKey), option.WithMaxRetries(0))
}

func (f *fleet) chat(ctx context.Context, v *vm, prompt string, maxTokens int64) (string, error) {
	client := f.client(v)
	answer, err := client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{
		Model:     model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxTokens: openai.Int(maxTokens),
	})
	if err != nil {
		return "", err
	}
	return answer.Choices[0].Message.Content, nil
}
