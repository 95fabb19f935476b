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
	// loadInterval is the time between two readings of an engine's load.
	loadInterval = time.Second
	// maxParallelLoads bounds the load reports that are read at once.
	maxParallelLoads = 8
)

// readLoads tells admission what the engines that this VM owns report, until ctx ends. Each engine is read by its owner only.
func (e *Entry) readLoads(ctx context.Context) {
	periodic.Every(ctx, loadInterval, func(time.Time) { e.readOwnedLoads(ctx) })
}

func (e *Entry) readOwnedLoads(ctx context.Context) {
	targets := e.watcher.Current().Targets
	var reads errgroup.Group
	reads.SetLimit(maxParallelLoads)
	for _, info := range e.slots.Targets() {
		if target := targets[info.Name]; e.readsLoadOf(info, target) {
			reads.Go(func() error { return e.readLoad(ctx, target) })
		}
	}
	_ = reads.Wait()
}

func (e *Entry) readsLoadOf(info explain.TargetInfo, target *settings.Target) bool {
	return target != nil && target.Model != "" && info.Owner == e.config.Settings.VM.Name
}

func (e *Entry) readLoad(ctx context.Context, target *settings.Target) error {
	load, err := e.engine.Load(ctx, target.Address)
	if err != nil {
		return err
	}
	e.slots.ObserveLoad(target.Name, load.Waiting)
	return nil
}
