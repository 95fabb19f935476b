// Command rosemary-ingress serves clients on the users' platform: online requests, batch jobs, and
// the directory of VMs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/boundedlog"
	"github.com/rosemarydyke/rosemarydyke/internal/config"
	"github.com/rosemarydyke/rosemarydyke/internal/node"
	"github.com/rosemarydyke/rosemarydyke/internal/process"
)

const (
	// exitUsage is the exit status for invalid arguments or settings.
	exitUsage = 2
	// memoryLimitFraction is the fraction of the VM's memory that is set as the Go runtime's soft memory limit.
	memoryLimitFraction = 0.6
	// reloadInterval is the interval at which the settings file is checked for changes.
	reloadInterval = 2 * time.Second
)

type flags struct {
	Config  string           `required:"" env:"ROSEMARYDYKE_CONFIG" placeholder:"FILE" help:"YAML file with the settings of this process."`
	Check   bool             `help:"Check the settings, print what is wrong, and exit."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("rosemary-ingress"), kong.Description("Serves clients on the users' platform."),
		kong.Vars{"version": process.Version}, kong.UsageOnError())
	settings, err := load(f.Config)
	if err != nil {
		fmt.Fprintf(os.Stderr, "rosemary-ingress: %v\n", err)
		os.Exit(exitUsage)
	}
	if f.Check {
		fmt.Printf("%s: settings are valid\n", f.Config)
		return
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryMB<<20)))
	output := boundedlog.NewWriter(os.Stdout)
	err = run(settings, f.Config, output)
	output.Close()
	if err != nil {
		os.Exit(1)
	}
}

func load(path string) (*config.Ingress, error) {
	var settings config.Ingress
	if err := config.Load(path, &settings); err != nil {
		return nil, err
	}
	settings.SetDefaults()
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &settings, nil
}

func run(settings *config.Ingress, path string, output *boundedlog.Writer) error {
	level, err := zerolog.ParseLevel(settings.Log.Level)
	if err != nil || settings.Log.Level == "" {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(output).Level(level).With().Timestamp().Str("vm", settings.VM.Name).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	n, err := node.New(settings, log)
	if err != nil {
		log.Error().Err(err).Msg("process not started; exiting")
		return err
	}
	go watchSettings(ctx, path, settings, n, log)
	if err := n.Run(ctx); err != nil {
		log.Error().Err(err).Msg("process failed; exiting")
		return err
	}
	return nil
}

// watchSettings reloads the settings on SIGHUP and when the file has changed.
func watchSettings(ctx context.Context, path string, current *config.Ingress, n *node.Node, log zerolog.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			log.Info().Msg("SIGHUP received; reloading settings")
		case <-ticker.C:
		}
		fresh, err := load(path)
		if err != nil {
			if !failed {
				log.Error().Err(err).Msg("settings not reloaded; the previous ones stay in force")
			}
			failed = true
			continue
		}
		failed = false
		if !reflect.DeepEqual(fresh, current) {
			n.Reload(fresh)
			current = fresh
		}
	}
}
