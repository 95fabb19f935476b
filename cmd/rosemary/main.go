// Command rosemary is the operators' command line.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/rosemarydyke/rosemarydyke/internal/process"
)

// exitFailure is the exit status of a command that failed.
const exitFailure = 1

// commands is the command line.
type commands struct {
	Operator    string           `env:"OPERATOR" placeholder:"URL" help:"Base URL of an operators' API."`
	OperatorKey string           `env:"OPERATOR_KEY" placeholder:"KEY" help:"Key of an operator."`
	Entries     []string         `env:"ENTRIES" placeholder:"URL" help:"Base URLs of entries, for job submit and job results."`
	APIKey      string           `name:"api-key" env:"API_KEY" placeholder:"KEY" help:"API key of a client, for job submit and job results."`
	Output      string           `short:"o" enum:"table,json" default:"table" help:"Output format: ${enum}."`
	Version     kong.VersionFlag `help:"Print the version and exit."`

	Settings settingsCommands `cmd:"" help:"Read and change settings."`
	Job      jobCommands      `cmd:"" help:"Submit, show and cancel batch jobs."`
	Explain  explainCommands  `cmd:"" help:"Explain the state of a request, an item or a job."`
	Targets  targetsCommand   `cmd:"" help:"List targets with their state."`
	VMs      vmsCommand       `cmd:"" name:"vms" help:"List VMs with their state."`
	Keys     keysCommand      `cmd:"" help:"Generate development certificates for mutual TLS between processes."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c,
		kong.Name("rosemary"),
		kong.Description("Operates a rosemarydyke fleet: settings, jobs, and explanations of what the system decided."),
		kong.Vars{"version": process.Version},
		kong.UsageOnError(),
	)
	session := &session{
		operator: newOperatorClient(c.Operator, c.OperatorKey),
		entries:  c.Entries,
		apiKey:   c.APIKey,
		printer:  printer{out: os.Stdout, json: c.Output == "json"},
	}
	if err := ctx.Run(session); err != nil {
		var status *statusError
		if errors.As(err, &status) && status.text == "" {
			os.Exit(status.status)
		}
		fmt.Fprintf(os.Stderr, "rosemary: %v\n", err)
		if status != nil {
			os.Exit(status.status)
		}
		os.Exit(exitFailure)
	}
}

// session is the state that all commands share.
type session struct {
	operator *operatorClient
	entries  []string
	apiKey   string
	printer  printer
}
