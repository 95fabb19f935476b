// Command rosemary-standin simulates the platform and the targets, for tests and the demo only.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/config"
	"github.com/rosemarydyke/rosemarydyke/internal/process"
	"github.com/rosemarydyke/rosemarydyke/internal/standin"
)

const (
	name        = "rosemary-standin"
	description = "Stand-ins for the platform's services, model engines and plain services. For tests and the demo only: nothing is persisted."
	// exitUsage is the exit status for invalid arguments or settings.
	exitUsage = 2
)

func main() {
	var flags process.Flags
	kong.Parse(&flags, kong.Name(name), kong.Description(description), kong.Vars{"version": process.Version}, kong.UsageOnError())
	var cfg standin.Config
	if err := config.Load(flags.Config, &cfg); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(exitUsage)
	}
	if flags.Check {
		fmt.Printf("%s: settings are valid\n", flags.Config)
		return
	}
	if err := run(cfg); err != nil {
		os.Exit(1)
	}
}

func run(cfg standin.Config) error {
	log := zerolog.New(os.Stderr).With().Timestamp().Str("process", name).Int("pid", os.Getpid()).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	set, err := standin.Start(ctx, cfg)
	if err != nil {
		log.Error().Err(err).Msg("not started; the process exits")
		return err
	}
	log.Info().Str("platform", set.PlatformURL()).Str("control", set.ControlURL()).
		Int("engines", len(set.Engines)).Int("services", len(set.Services)).Msg("started")
	<-ctx.Done()
	set.Stop()
	log.Info().Msg("stopped")
	return nil
}
