// Command rosemary-load generates load on a fleet and reports the results of experiments.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"github.com/rosemarydyke/rosemarydyke/internal/experiment"
	"github.com/rosemarydyke/rosemarydyke/internal/load"
	"github.com/rosemarydyke/rosemarydyke/internal/process"
)

type commands struct {
	Version kong.VersionFlag `help:"Print the version and exit."`
	Online  onlineCommand    `cmd:"" help:"Send streamed chat requests to a fleet at a fixed rate and print what callers observed, as JSON."`
	Report  reportCommand    `cmd:"" help:"Print the report of an experiment as a table and draw its plots."`
	Demo    demoCommand      `cmd:"" help:"Run the demo on a local fleet, kill its VM 2, and check the results."`
	Wait    waitCommand      `cmd:"" help:"Wait until URLs respond with status 200."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c,
		kong.Name("rosemary-load"),
		kong.Description("Generates load on a fleet and reports the results of experiments. Experiments are run by make bench."),
		kong.Vars{"version": process.Version},
		kong.UsageOnError(),
	)
	ctx.FatalIfErrorf(ctx.Run())
}

type onlineCommand struct {
	Entries   []string      `env:"ENTRIES" required:"" placeholder:"URL" help:"Base URLs of entries, used round-robin."`
	APIKey    string        `name:"api-key" env:"API_KEY" required:"" placeholder:"KEY" help:"API key of a client."`
	Model     string        `required:"" help:"Model to request."`
	Rate      float64       `default:"5" help:"Mean number of requests a second."`
	Length    time.Duration `default:"10s" help:"Time over which requests are sent."`
	MaxTokens int64         `default:"64" help:"Maximum number of tokens in a response."`
	Seed      uint64        `default:"1" help:"Seed of the arrivals and prompts."`
}

// Run generates the load and prints the report.
func (c *onlineCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report := load.Run(ctx, load.Config{
		Entries: c.Entries, APIKey: c.APIKey, Model: c.Model, Rate: c.Rate,
		Length: c.Length, MaxTokens: c.MaxTokens, Seed: c.Seed,
	})
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

type reportCommand struct {
	File  string `arg:"" type:"existingfile" help:"Report file written by make bench."`
	Plots string `placeholder:"DIR" help:"Directory for the plots."`
}

// Run prints the report.
func (c *reportCommand) Run() error {
	report, err := experiment.ReadFile(c.File)
	if err != nil {
		return err
	}
	if err := report.WriteTable(os.Stdout); err != nil || c.Plots == "" {
		return err
	}
	for _, comparison := range report.Comparisons {
		if err := comparison.Plot(filepath.Join(c.Plots, plotName(comparison))); err != nil {
			return err
		}
	}
	return nil
}

func plotName(c experiment.Comparison) string {
	suffix := ""
	if c.Faults {
		suffix = "-faults"
	}
	return fmt.Sprintf("first-token-%s%s.png", strings.ReplaceAll(c.Profile, " ", "-"), suffix)
}
