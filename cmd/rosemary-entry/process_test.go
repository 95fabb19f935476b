package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/devkeys"
	"github.com/rosemarydyke/rosemarydyke/internal/settingstore"
	"github.com/rosemarydyke/rosemarydyke/internal/standin"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/batching"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/engine"
	"github.com/rosemarydyke/rosemarydyke/internal/testports"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// runAsDaemon names the environment variable that makes the test binary run as rosemary-entry.
const runAsDaemon = "ROSEMARYDYKE_TEST_RUN_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(runAsDaemon) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// daemon is a separate rosemary-entry process.
type daemon struct {
	command *exec.Cmd
	stderr  bytes.Buffer
	exited  chan error
	callers string
	status  string
}

func startDaemon(t *testing.T, c *qt.C, set *standin.Set) *daemon {
	dir := t.TempDir()
	c.Assert(devkeys.Generate(dir, []string{"vm-1"}), qt.IsNil)
	d := &daemon{callers: testports.Address(t, "127.0.0.1"), status: testports.Address(t, "127.0.0.1"), exited: make(chan error, 1)}
	file := filepath.Join(dir, "entry.yaml")
	yaml := fmt.Sprintf(`vm: {name: vm-1, availability_zone: az-a, region: r1}
platform: {url: %q}
tls: {ca: %[2]s/ca.pem, certificate: %[2]s/vm-1.pem, key: %[2]s/vm-1.key}
status: %[3]s
peers: %[5]s
callers: %[4]s
batch_peers: 127.0.0.1:1
operator_peers: 127.0.0.1:2
`, set.PlatformURL(), dir, d.status, d.callers, testports.Address(t, "127.0.0.1"))
	c.Assert(os.WriteFile(file, []byte(yaml), 0o600), qt.IsNil)
	d.command = exec.Command(os.Args[0], "--config", file)
	d.command.Env = append(os.Environ(), runAsDaemon+"=1")
	d.command.Stderr = &d.stderr
	c.Assert(d.command.Start(), qt.IsNil)
	go func() { d.exited <- d.command.Wait() }()
	t.Cleanup(func() { _ = d.command.Process.Kill() })
	return d
}

func (d *daemon) await(t *testing.T, what string, condition func() bool) {
	deadline := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within 30 s: %s; log:\n%s", what, d.stderr.String())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// longResponseTokens makes a response take longer than callers cache addresses.
const longResponseTokens = 500

func (d *daemon) chat(stream bool, tokens int) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"ignore_eos":true,"messages":[{"role":"user","content":"hi"}]}`, stream, tokens)
	request, err := http.NewRequest(http.MethodPost, "http://"+d.callers+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer sk-process")
	return http.DefaultClient.Do(request)
}

func (d *daemon) get(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

func startStandIns(t *testing.T, c *qt.C) *standin.Set {
	set, err := standin.Start(context.Background(), standin.Config{Engines: []engine.Config{
		{Name: "engine-a", Model: "m", Speed: batching.Config{StepBase: 20 * time.Millisecond}},
	}})
	c.Assert(err, qt.IsNil)
	t.Cleanup(set.Stop)
	digest := sha256.Sum256([]byte("sk-process"))
	store := settingstore.New(set.Memory, set.Memory.Objects())
	_, err = store.Commit(context.Background(), settings.Empty(), settings.Change{Operation: "first", Documents: map[string]string{
		"coop/clients/desk":      "key_sha256: [" + hex.EncodeToString(digest[:]) + "]\n",
		"fleet/models/m":         "max_tokens: 1000\n",
		"fleet/targets/engine-a": "address: " + set.Engines[0].Address() + "\navailability_zone: az-a\nmodel: m\nslots: 8\n",
	}})
	c.Assert(err, qt.IsNil)
	return set
}

func TestSIGTERMFinishesStreamAndExitsWithZero(t *testing.T) {
	c := qt.New(t)
	d := startDaemon(t, c, startStandIns(t, c))
	d.await(t, "the daemon serves requests", func() bool {
		response, err := d.chat(false, 5)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	c.Assert(d.get("http://"+d.status+"/readyz"), qt.Equals, 200)
	response, err := d.chat(true, longResponseTokens)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	c.Assert(d.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	d.await(t, "the daemon is no longer ready", func() bool { return d.get("http://"+d.status+"/readyz") == 503 })
	// Callers with a cached address are still served.
	cached, err := d.chat(false, 5)
	c.Assert(err, qt.IsNil)
	defer cached.Body.Close()
	c.Assert(cached.StatusCode, qt.Equals, 200)
	text, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.HasSuffix(string(text), "data: [DONE]\n\n"), qt.IsTrue)
	c.Assert(strings.Count(string(text), "data: ") > longResponseTokens, qt.IsTrue)
	select {
	case err := <-d.exited:
		c.Assert(err, qt.IsNil, qt.Commentf("%s", d.stderr.String()))
	case <-time.After(time.Minute):
		t.Fatal("the daemon did not exit")
	}
}
