// Command rosemary-operator serves the operators' HTTP interface of one VM.
package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

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
	// entryPollInterval separates questions for newer settings to the entry of this VM.
	entryPollInterval = time.Second
	// spreadCount is the number of entries that get a new revision before its operator is answered.
	spreadCount = 3
	// drainTimeout bounds the wait for requests in progress at a stop.
	drainTimeout = 30 * time.Second
	// questionTimeout bounds the question for the VMs.
	questionTimeout = 2 * time.Second
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
)

func main() {
	process.Main("rosemary-operator", "Serves the operators' HTTP interface of one VM: settings, jobs, targets, VMs and explanations.",
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
	return serve(ctx, env, c.Operators, handler)
}

// serve answers operators until ctx ends, then finishes the requests in progress.
func serve(ctx context.Context, env process.Env, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	env.Ready.Store(true)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	env.Ready.Store(false)
	drain, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := server.Shutdown(drain); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func closeNode(node *peer.Node) {
	ctx, cancel := context.WithTimeout(context.Background(), questionTimeout)
	defer cancel()
	_ = node.Close(ctx)
}

// vmList asks the entry of this VM for the VMs that it knows.
type vmList struct {
	caller peer.Caller
	entry  netip.AddrPort
}

func (l *vmList) ask(ctx context.Context) []explain.VMInfo {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	var answer explain.VMsResponse
	if err := l.caller.Call(ctx, l.entry, explain.MethodVMs, struct{}{}, &answer); err != nil {
		return nil
	}
	return answer.VMs
}

// entries returns the peer addresses of a few entries, this VM's first.
func (l *vmList) entries(ctx context.Context) []netip.AddrPort {
	addresses := []netip.AddrPort{l.entry}
	for _, vm := range l.ask(ctx) {
		address, err := netip.ParseAddrPort(vm.EntryPeers)
		if err == nil && address != l.entry && len(addresses) < spreadCount {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// members returns the VMs in the form that announcements take.
func (l *vmList) members(ctx context.Context) []member.Member {
	var members []member.Member
	for _, vm := range l.ask(ctx) {
		members = append(members, member.Member{VM: vm.VM, EntryPeers: vm.EntryPeers, BatchPeers: vm.BatchPeers, OperatorPeers: vm.OperatorPeers})
	}
	return members
}
