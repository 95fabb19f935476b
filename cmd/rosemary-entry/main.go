// Command rosemary-entry serves callers on one entry VM.
package main

import (
	"cmp"
	"context"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/config"
	"github.com/rosemarydyke/rosemarydyke/internal/entry"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/client"
	"github.com/rosemarydyke/rosemarydyke/internal/process"
)

// defaultPlatformTimeout bounds one call to the platform.
const defaultPlatformTimeout = 2 * time.Second

func main() {
	process.Main("rosemary-entry", "Serves callers: admission, routing to targets, streams.", common, run)
}

func common(settings *config.Entry) *config.Common { return &settings.Common }

func run(ctx context.Context, env process.Env, settings *config.Entry) error {
	platform := client.New(settings.Platform.URL, cmp.Or(settings.Platform.Timeout, defaultPlatformTimeout))
	e, err := entry.New(entry.Config{
		Settings: settings,
		Platform: platform,
		Log:      env.Log,
		Ready:    env.Ready,
	})
	if err != nil {
		return err
	}
	return e.Run(ctx)
}
