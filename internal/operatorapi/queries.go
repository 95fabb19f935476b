package operatorapi

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"strings"

	"github.com/kataras/iris/v12"
	"golang.org/x/sync/errgroup"

	"github.com/rosemarydyke/rosemarydyke/internal/explain"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// listLimit bounds the jobs in one response.
const listLimit = 200

// maxParallelCalls bounds the concurrent calls to other processes for one request.
const maxParallelCalls = 32

func (s *Server) listJobs(ctx iris.Context) {
	var jobs []Job
	for name := range s.config.Follower.Current().Clients {
		if !s.mayRead(ctx, name) {
			continue
		}
		if filter := ctx.URLParam("client"); filter != "" && filter != name {
			continue
		}
		found, err := s.config.Jobs.List(ctx.Request().Context(), name, listLimit)
		if err != nil {
			s.failPlatform(ctx, err)
			return
		}
		jobs = append(jobs, found...)
	}
	slices.SortFunc(jobs, func(a, b Job) int { return cmp.Compare(b.CreatedAt.UnixNano(), a.CreatedAt.UnixNano()) })
	_ = ctx.JSON(jobs[:min(len(jobs), listLimit)])
}

// readableJob returns the job that the request names. If it does not exist or the operator may not read it, it writes
// an error response and returns false.
func (s *Server) readableJob(ctx iris.Context) (Job, bool) {
	job, err := s.config.Jobs.Get(ctx.Request().Context(), ctx.Params().Get("id"))
	if err != nil {
		s.failPlatform(ctx, err)
		return Job{}, false
	}
	if !s.mayRead(ctx, job.Client) {
		fail(ctx, http.StatusNotFound, "not_found", "there is no such job")
		return Job{}, false
	}
	return job, true
}

func (s *Server) getJob(ctx iris.Context) {
	if job, ok := s.readableJob(ctx); ok {
		_ = ctx.JSON(job)
	}
}

func (s *Server) cancelJob(ctx iris.Context) {
	job, ok := s.readableJob(ctx)
	if !ok {
		return
	}
	if err := s.config.Jobs.Cancel(ctx.Request().Context(), job.ID); err != nil {
		s.failPlatform(ctx, err)
		return
	}
	s.getJob(ctx)
}

func (s *Server) failPlatform(ctx iris.Context, err error) {
	if errors.Is(err, platform.ErrNotFound) {
		fail(ctx, http.StatusNotFound, "not_found", "there is no such job or item")
		return
	}
	ctx.Header("Retry-After", "5")
	fail(ctx, http.StatusServiceUnavailable, "platform_unavailable", err.Error())
}

func (s *Server) getTargets(ctx iris.Context) {
	var response explain.TargetsResponse
	if err := s.call(ctx, s.config.Entry, explain.MethodTargets, struct{}{}, &response); err != nil {
		s.failEntry(ctx, err)
		return
	}
	_ = ctx.JSON(response.Targets)
}

func (s *Server) getVMs(ctx iris.Context) {
	vms, err := s.vms(ctx)
	if err != nil {
		s.failEntry(ctx, err)
		return
	}
	_ = ctx.JSON(vms)
}

func (s *Server) vms(ctx iris.Context) ([]explain.VMInfo, error) {
	var response explain.VMsResponse
	err := s.call(ctx, s.config.Entry, explain.MethodVMs, struct{}{}, &response)
	return response.VMs, err
}

func (s *Server) call(ctx iris.Context, to netip.AddrPort, method peer.Method, request, response any) error {
	callCtx, cancel := context.WithTimeout(ctx.Request().Context(), callTimeout)
	defer cancel()
	return s.config.Caller.Call(callCtx, to, method, request, response)
}

func (s *Server) failEntry(ctx iris.Context, err error) {
	s.config.Log.Warn().Err(err).Msg("call to the entry of this VM failed")
	ctx.Header("Retry-After", "2")
	fail(ctx, http.StatusServiceUnavailable, "entry_unavailable", "the entry of this VM did not answer")
}

// explainRequest queries the VM that admitted the request; the VM's name is the prefix of the request's ID.
func (s *Server) explainRequest(ctx iris.Context) {
	id := ctx.Params().Get("id")
	vm, _, found := strings.Cut(id, ".")
	if !found {
		fail(ctx, http.StatusBadRequest, "invalid_request_id", "a request id has the form VM.ID")
		return
	}
	vms, err := s.vms(ctx)
	if err != nil {
		s.failEntry(ctx, err)
		return
	}
	address, ok := entryAddress(vms, vm)
	if !ok {
		fail(ctx, http.StatusNotFound, "vm_gone", "VM "+vm+" is gone, and its account of the request with it")
		return
	}
	var explanation explain.Explanation
	if err := s.call(ctx, address, explain.MethodRequest, explain.RequestQuery{ID: id}, &explanation); err != nil {
		s.failEntry(ctx, err)
		return
	}
	if !explanation.Found || !s.mayRead(ctx, explanation.Client) {
		fail(ctx, http.StatusNotFound, "not_found", "VM "+vm+" has no account of the request")
		return
	}
	_ = ctx.JSON(explanation)
}

func entryAddress(vms []explain.VMInfo, name string) (netip.AddrPort, bool) {
	for _, vm := range vms {
		if vm.VM == name {
			address, err := netip.ParseAddrPort(vm.EntryPeers)
			return address, err == nil
		}
	}
	return netip.AddrPort{}, false
}

func (s *Server) explainJob(ctx iris.Context) {
	job, ok := s.readableJob(ctx)
	if !ok {
		return
	}
	explanation, err := s.config.Jobs.Explain(ctx.Request().Context(), job.ID)
	if err != nil {
		s.failPlatform(ctx, err)
		return
	}
	_ = ctx.JSON(explanation)
}

// explainItem merges the item's state in the store with the events that batch processes hold in memory.
func (s *Server) explainItem(ctx iris.Context) {
	job, ok := s.readableJob(ctx)
	if !ok {
		return
	}
	customID := ctx.Params().Get("item")
	explanation, err := s.config.Jobs.ExplainItem(ctx.Request().Context(), job.ID, customID)
	if err != nil {
		s.failPlatform(ctx, err)
		return
	}
	explanation.Events = append(explanation.Events, s.itemEvents(ctx, job.ID, customID)...)
	slices.SortStableFunc(explanation.Events, func(a, b explain.Event) int { return a.At.Compare(b.At) })
	_ = ctx.JSON(explanation)
}

// itemEvents queries the batch processes of all VMs concurrently. Those that do not respond are omitted.
func (s *Server) itemEvents(ctx iris.Context, job, customID string) []explain.Event {
	vms, err := s.vms(ctx)
	if err != nil {
		return nil
	}
	explanations := make([]explain.Explanation, len(vms))
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for i, vm := range vms {
		address, err := netip.ParseAddrPort(vm.BatchPeers)
		if err != nil {
			continue
		}
		group.Go(func() error {
			query := explain.ItemQuery{Job: job, CustomID: customID}
			if err := s.call(ctx, address, explain.MethodItem, query, &explanations[i]); err != nil {
				s.config.Log.Debug().Err(err).Str("asked_vm", vm.VM).Msg("call to a batch process failed; its events are omitted")
			}
			return nil
		})
	}
	_ = group.Wait()
	var events []explain.Event
	for i, explanation := range explanations {
		events = append(events, withVM(explanation.Events, vms[i].VM)...)
	}
	return events
}

// withVM sets the VM of events that have none.
func withVM(events []explain.Event, vm string) []explain.Event {
	for i := range events {
		if events[i].VM == "" {
			events[i].VM = vm
		}
	}
	return events
}
