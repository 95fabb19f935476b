// Command rosemary-batch runs items of batch jobs in the slots that the entry on its VM grants.
package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/samber/oops"

	"github.com/rosemarydyke/rosemarydyke/internal/config"
	"github.com/rosemarydyke/rosemarydyke/internal/engine"
	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/client"
	"github.com/rosemarydyke/rosemarydyke/internal/process"
	"github.com/rosemarydyke/rosemarydyke/internal/runner"
)

const (
	defaultPlatformTimeout = 2 * time.Second
	closeTimeout           = 2 * time.Second
)

func main() {
	process.Main("rosemary-batch",
		"Runs the items of batch jobs. One such process runs on every entry VM, beside rosemary-entry.",
		func(settings *config.Batch) *config.Common { return &settings.Common }, run)
}

func run(ctx context.Context, env process.Env, settings *config.Batch) error {
	entry, err := netip.ParseAddrPort(settings.Entry)
	if err != nil {
		return oops.In("batch").Wrapf(err, "parse entry address")
	}
	node, err := peer.Listen(peer.Config{Address: settings.Peers, TLS: settings.TLS, Log: env.Log})
	if err != nil {
		return oops.In("batch").Wrapf(err, "listen for peers")
	}
	defer closeNode(node)
	timeout := settings.Platform.Timeout
	if timeout == 0 {
		timeout = defaultPlatformTimeout
	}
	store := client.New(settings.Platform.URL, timeout)
	fleet := runner.NewFleet(settings.VM.Name, node, entry)
	r := runner.New(runner.Config{
		VM:      settings.VM.Name,
		Entry:   entry,
		Caller:  node,
		Store:   jobstore.New(store.Table(), store.Objects()),
		Items:   runner.NewEngineRunner(engine.New(engine.Config{BufferBytes: settings.ResponseBytes()})),
		Members: fleet.Size,
		Peers:   fleet.Others,
		Log:     env.Log,
	})
	r.Register(node)
	if err := node.Start(); err != nil {
		return oops.In("batch").Wrapf(err, "start peer transport")
	}
	go fleet.Run(ctx)
	env.Ready.Store(true)
	return r.Run(ctx)
}

func closeNode(node *peer.Node) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = node.Close(ctx)
}
