// Command rosemary-entry serves callers on one entry VM.
package main

import (
	"context"

	"github.com/rosemarydyke/rosemarydyke/internal/config"
	"github.com/rosemarydyke/rosemarydyke/internal/entry"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/client"
	"github.com/rosemarydyke/rosemarydyke/internal/process"
)

func main() {
	process.Main("rosemary-entry", "Serves callers: admission, routing to targets, streams.", common, run)
}

func common(settings *config.Entry) *config.Common { return &settings.Common }

func run(ctx context.Context, env process.Env, settings *config.Entry) error {
	platform := client.New(settings.Platform.URL, settings.Platform.Timeout)
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
