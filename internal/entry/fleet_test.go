package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/config"
	"github.com/rosemarydyke/rosemarydyke/internal/devkeys"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/settingstore"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

const (
	apiKey = "sk-fleet"
	chat   = "/v1/chat/completions"
)

// memoryPlatform is an in-memory Platform.
type memoryPlatform struct{ *memory.Platform }

func (p memoryPlatform) Table() platform.Table     { return p.Platform }
func (p memoryPlatform) Objects() platform.Objects { return p.Platform.Objects() }
func (p memoryPlatform) VMs() platform.VMList      { return p.Platform }
func (p memoryPlatform) Weights() platform.Weights { return p.Platform }

// fleet is a set of entries in this process that share one platform.
type fleet struct {
	tb       testing.TB
	platform memoryPlatform
	entries  []*Entry
	stops    []context.CancelFunc
	ended    []chan error
	targets  int
	keys     string
}

const fleetTTL = time.Second

// newFleet starts the targets, which serve model "m" and service "booking", and one entry in each of three
// availability zones.
func newFleet(tb testing.TB, slots int, targets ...http.Handler) *fleet {
	var addresses []string
	for _, handler := range targets {
		server := httptest.NewServer(handler)
		tb.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return newFleetWithAddresses(tb, slots, addresses)
}

// newFleetWithAddresses is like newFleet for targets that are already running.
func newFleetWithAddresses(tb testing.TB, slots int, addresses []string) *fleet {
	f := &fleet{tb: tb, platform: memoryPlatform{memory.New()}}
	keys := tb.TempDir()
	f.keys = keys
	names := []string{"vm-1", "vm-2", "vm-3"}
	qt.Assert(tb, devkeys.Generate(keys, names), qt.IsNil)
	documents := baseDocuments()
	for i, address := range addresses {
		addTarget(documents, i, address, slots)
	}
	f.targets = 2 * len(addresses)
	f.commit(documents)
	var vms []platform.VM
	for i, name := range names {
		e := f.newEntry(keys, name, "az-"+string(rune('a'+i)))
		f.entries = append(f.entries, e)
		vms = append(vms, platform.VM{Name: name, Address: e.Peers().String(), Role: platform.RoleEntry, State: platform.VMLive})
	}
	f.platform.SetVMs(vms)
	for i := range f.entries {
		f.start(i)
	}
	tb.Cleanup(f.close)
	f.await("all entries are members and have the settings", func() bool { return f.ready() })
	return f
}

func baseDocuments() map[string]string {
	digest := sha256.Sum256([]byte(apiKey))
	return map[string]string{
		"coop/clients/desk":     "key_sha256: [" + hex.EncodeToString(digest[:]) + "]\n",
		"coop/services/booking": "timeout: 5s\n",
		"fleet/models/m":        "max_tokens: 1000\n",
	}
}

func addTarget(documents map[string]string, i int, address string, slots int) {
	zone := "az-" + string(rune('a'+i%3))
	documents[fmt.Sprintf("fleet/targets/engine-%d", i)] = fmt.Sprintf(
		"address: %s\navailability_zone: %s\nmodel: m\nslots: %d\n", address, zone, slots)
	documents[fmt.Sprintf("fleet/targets/booking-%d", i)] = fmt.Sprintf(
		"address: %s\navailability_zone: %s\nservice: booking\nslots: %d\n", address, zone, slots)
}

func (f *fleet) commit(documents map[string]string) {
	store := settingstore.New(f.platform.Table(), f.platform.Objects())
	_, err := store.Commit(context.Background(), settings.Empty(), settings.Change{Operation: "first", Documents: documents})
	qt.Assert(f.tb, err, qt.IsNil)
}

func (f *fleet) newEntry(keys, name, zone string) *Entry {
	loopback := "127.0.0.1:0"
	e, err := New(Config{
		Settings: &config.Entry{
			Common: config.Common{
				VM:    config.VM{Name: name, AvailabilityZone: zone, Region: "r1"},
				TLS:   certificates(keys, name),
				Peers: loopback,
			},
			Callers: loopback, BatchPeers: loopback, OperatorPeers: loopback,
		},
		Platform:   f.platform,
		Log:        zerolog.New(zerolog.NewTestWriter(f.tb)).Level(zerolog.WarnLevel),
		Ready:      new(atomic.Bool),
		EntriesTTL: fleetTTL,
		LeaveGrace: time.Second,
	})
	qt.Assert(f.tb, err, qt.IsNil)
	return e
}

func certificates(dir, vm string) config.TLS {
	return config.TLS{CA: filepath.Join(dir, devkeys.CAFile), Certificate: filepath.Join(dir, vm+".pem"), Key: filepath.Join(dir, vm+".key")}
}

func (f *fleet) start(i int) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	f.stops = append(f.stops, stop)
	f.ended = append(f.ended, ended)
	go func() { ended <- f.entries[i].Run(ctx) }()
}

// close stops all entries at once, without a graceful leave of the HTTP servers.
func (f *fleet) close() {
	var closing sync.WaitGroup
	for i, e := range f.entries {
		closing.Go(func() {
			_ = e.server.Close()
			<-f.ended[i]
			f.stops[i]()
		})
	}
	closing.Wait()
}

func (f *fleet) ready() bool {
	for _, e := range f.entries {
		if len(e.members.Members()) < len(f.entries) || len(e.admission.Targets()) < f.targets || !e.config.Ready.Load() {
			return false
		}
	}
	return true
}

func (f *fleet) await(condition string, met func() bool) {
	f.tb.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !met() {
		if time.Now().After(deadline) {
			f.tb.Fatalf("condition not met within 30 s: %s", condition)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *fleet) url(i int) string { return "http://" + f.entries[i].Callers().String() }

// callerResponse is a response as the caller receives it.
type callerResponse struct {
	status  int
	verdict string
	body    string
	err     error
}

// post sends a request to the entry at base.
func post(client *http.Client, base, path, body string, header http.Header) callerResponse {
	request, err := http.NewRequest(http.MethodPost, base+path, strings.NewReader(body))
	if err != nil {
		return callerResponse{err: err}
	}
	request.Header = header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := client.Do(request)
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	got := callerResponse{status: response.StatusCode, verdict: response.Header.Get("Rosemarydyke-Verdict"), body: string(content), err: err}
	if got.verdict == "" {
		got.verdict = response.Trailer.Get("Rosemarydyke-Verdict")
	}
	return got
}

// countingTarget responds with JSON and counts its executions by request body.
type countingTarget struct {
	mu    sync.Mutex
	count map[string]int
}

func (t *countingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	t.mu.Lock()
	if t.count == nil {
		t.count = map[string]int{}
	}
	t.count[string(body)]++
	t.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{"id":"x","object":"chat.completion","choices":[],"usage":{"completion_tokens":1}}`))
}

func (t *countingTarget) executions(body string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count[body]
}

func chatBody(content string, stream bool) string {
	return fmt.Sprintf(`{"model":"m","stream":%t,"messages":[{"role":"user","content":%q}]}`, stream, content)
}

func TestEveryEntryServesAllTargets(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 2, &countingTarget{})
	for i := range f.entries {
		got := post(http.DefaultClient, f.url(i), chat, chatBody("hi", false), nil)
		c.Assert(got.status, qt.Equals, 200, qt.Commentf("%+v", got))
		c.Assert(got.verdict, qt.Equals, "completed")
		got = post(http.DefaultClient, f.url(i), "/services/booking/rooms", "{}", nil)
		c.Assert(got.status, qt.Equals, 200, qt.Commentf("%+v", got))
	}
}

func TestSameKeyThroughAllEntriesRunsOnce(t *testing.T) {
	c := qt.New(t)
	target := &countingTarget{}
	f := newFleet(t, 4, target)
	header := http.Header{"Idempotency-Key": {"k"}}
	var group sync.WaitGroup
	var succeeded atomic.Int64
	for i := range 12 {
		group.Go(func() {
			if got := post(http.DefaultClient, f.url(i%3), "/services/booking/rooms", "book", header); got.status == 200 {
				succeeded.Add(1)
			}
		})
	}
	group.Wait()
	c.Assert(target.executions("book"), qt.Equals, 1)
	f.await("every entry replays the stored response", func() bool {
		for i := range f.entries {
			if post(http.DefaultClient, f.url(i), "/services/booking/rooms", "book", header).status != 200 {
				return false
			}
		}
		return true
	})
	c.Assert(target.executions("book"), qt.Equals, 1)
	got := post(http.DefaultClient, f.url(0), "/services/booking/rooms", "other", header)
	c.Assert(got.status, qt.Equals, 422)
	c.Assert(target.executions("other"), qt.Equals, 0)
}
