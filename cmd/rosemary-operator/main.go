// Command rosemary-operator serves the operators' HTTP API of one VM.
package main

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/clientconn"
	"github.com/rosemarydyke/rosemarydyke/internal/config"
	"github.com/rosemarydyke/rosemarydyke/internal/explain"
	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/internal/operatorapi"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/client"
	"github.com/rosemarydyke/rosemarydyke/internal/process"
	"github.com/rosemarydyke/rosemarydyke/internal/settingstore"
	"github.com/rosemarydyke/rosemarydyke/internal/settingsync"
	"github.com/rosemarydyke/rosemarydyke/member"
)

const (
	// entryPollInterval is the interval at which the entry of this VM is polled for newer settings.
	entryPollInterval = time.Second
	// replicationCount is the number of entries that receive a new revision before the response to its operator.
	replicationCount = 3
	// drainTimeout bounds the wait for requests in progress at shutdown.
	drainTimeout = 30 * time.Second
	// callTimeout bounds the call for the list of VMs, and the close of the peer transport.
	callTimeout = 2 * time.Second
)

func main() {
	process.Main("rosemary-operator", "Serves the operators' HTTP API of one VM: settings, jobs, targets, VMs and explanations.",
		func(c *config.Operator) *config.Common { return &c.Common }, run)
}

func run(ctx context.Context, env process.Env, c *config.Operator) error {
	entry, err := netip.ParseAddrPort(c.Entry)
	if err != nil {
		return err
	}
	node, err := peer.Listen(peer.Config{Address: c.Peers, TLS: c.TLS, Log: env.Log})
	if err != nil {
		return err
	}
	vms := &vmList{caller: node, entry: entry}
	platform := client.New(c.Platform.URL, c.Platform.Timeout)
	store := settingstore.New(platform.Table(), platform.Objects())
	watcher := settingsync.New(settingsync.Config{
		Store:                 store,
		Caller:                node,
		Peers:                 func() []netip.AddrPort { return []netip.AddrPort{entry} },
		ReplicateTo:           vms.entries,
		PeerInterval:          entryPollInterval,
		TableOnlyWithoutPeers: true,
		Log:                   env.Log,
	})
	watcher.Register(node)
	if err := node.Start(); err != nil {
		return err
	}
	defer closeNode(node)
	watcher.Start(ctx)
	handler, err := operatorapi.New(operatorapi.Config{
		Settings:      store,
		Follower:      watcher,
		Jobs:          operatorapi.StoredJobs{Store: jobstore.New(platform.Table(), platform.Objects()), Caller: node, Members: vms.members},
		Caller:        node,
		Entry:         entry,
		RootKeySHA256: c.RootKeySHA256,
		Log:           env.Log,
	})
	if err != nil {
		return err
	}
	return serve(ctx, env, c.Operators, c.CallerBounds(env.Log), handler)
}

// serve serves operators until ctx ends, then finishes the requests in progress.
func serve(ctx context.Context, env process.Env, address string, bounds clientconn.Config, handler http.Handler) error {
	guard := clientconn.New(bounds)
	listener, err := guard.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := guard.Server(handler)
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- server.Serve(listener) }()
	env.Ready.Store(true)
	select {
	case err := <-serveErrors:
		return err
	case <-ctx.Done():
	}
	env.Ready.Store(false)
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := server.Shutdown(drainCtx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func closeNode(node *peer.Node) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = node.Close(ctx)
}

// vmList fetches the list of VMs from the entry of this VM.
type vmList struct {
	caller peer.Caller
	entry  netip.AddrPort
}

func (l *vmList) fetch(ctx context.Context) []explain.VMInfo {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var response explain.VMsResponse
	if err := l.caller.Call(ctx, l.entry, explain.MethodVMs, struct{}{}, &response); err != nil {
		return nil
	}
	return response.VMs
}

// entries returns the peer addresses of up to replicationCount entries, this VM's first.
func (l *vmList) entries(ctx context.Context) []netip.AddrPort {
	addresses := []netip.AddrPort{l.entry}
	for _, vm := range l.fetch(ctx) {
		address, err := netip.ParseAddrPort(vm.EntryPeers)
		if err == nil && address != l.entry && len(addresses) < replicationCount {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// members returns the VMs as members, with their peer addresses only.
func (l *vmList) members(ctx context.Context) []member.Member {
	var members []member.Member
	for _, vm := range l.fetch(ctx) {
		members = append(members, member.Member{VM: vm.VM, EntryPeers: vm.EntryPeers, BatchPeers: vm.BatchPeers, OperatorPeers: vm.OperatorPeers})
	}
	return members
}
