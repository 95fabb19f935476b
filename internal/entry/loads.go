package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemarydyke/rosemarydyke/internal/explain"
	"github.com/rosemarydyke/rosemarydyke/internal/periodic"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

const (
	// loadPollInterval is the interval at which an engine's load is read.
	loadPollInterval = time.Second
	// maxConcurrentPolls is the maximum number of load reports read concurrently.
	maxConcurrentPolls = 8
)

// pollLoads passes the load reports of the engines that this VM owns to admission, until ctx ends. An engine is
// polled only by its owner.
func (e *Entry) pollLoads(ctx context.Context) {
	periodic.Every(ctx, loadPollInterval, func(time.Time) { e.pollOwnedLoads(ctx) })
}

func (e *Entry) pollOwnedLoads(ctx context.Context) {
	targets := e.settingsWatcher.Current().Targets
	var polls errgroup.Group
	polls.SetLimit(maxConcurrentPolls)
	for _, info := range e.admission.Targets() {
		if target := targets[info.Name]; e.ownsEngine(info, target) {
			polls.Go(func() error { return e.pollLoad(ctx, target) })
		}
	}
	_ = polls.Wait()
}

func (e *Entry) ownsEngine(info explain.TargetInfo, target *settings.Target) bool {
	return target != nil && target.Model != "" && info.Owner == e.config.Settings.VM.Name
}

func (e *Entry) pollLoad(ctx context.Context, target *settings.Target) error {
	load, err := e.engine.Load(ctx, target.Address)
	if err != nil {
		return err
	}
	e.admission.ObserveLoad(target.Name, load.Waiting)
	return nil
}
