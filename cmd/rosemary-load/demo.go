package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/demo"
)

const (
	// pollInterval is the time between two polls of a URL.
	pollInterval = 50 * time.Millisecond
	// pollTimeout bounds one poll.
	pollTimeout = 2 * time.Second
)

type waitCommand struct {
	URLs    []string      `arg:"" name:"url" help:"URLs that must respond with status 200."`
	APIKey  string        `name:"api-key" placeholder:"KEY" help:"API key to send."`
	Timeout time.Duration `default:"60s" help:"Time after which the wait fails."`
}

// Run waits for all URLs.
func (c *waitCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	for _, url := range c.URLs {
		if err := c.await(ctx, url); err != nil {
			return err
		}
	}
	return nil
}

func (c *waitCommand) await(ctx context.Context, url string) error {
	for {
		err := c.probe(ctx, url)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s not available after %v: %w", url, c.Timeout, err)
		case <-time.After(pollInterval):
		}
	}
}

func (c *waitCommand) probe(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if c.APIKey != "" {
		request.Header.Set("Authorization", "Bearer "+c.APIKey)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

type demoCommand struct {
	Entries     []string `env:"ENTRIES" required:"" placeholder:"URL" help:"Base URLs of the entries of VM 1, 2 and 3."`
	APIKey      string   `name:"api-key" env:"API_KEY" required:"" placeholder:"KEY" help:"API key of a client."`
	Operator    string   `env:"OPERATOR" required:"" placeholder:"URL" help:"Base URL of the operators' API of VM 1."`
	OperatorKey string   `env:"OPERATOR_KEY" required:"" placeholder:"KEY" help:"Key of an operator of the whole tree."`
	Control     string   `default:"http://127.0.0.1:9001" help:"Base URL of the stand-ins' control API."`
	PIDs        string   `name:"pids" default:"run/pids" help:"Directory with the fleet's process ids."`
	Subjects    string   `required:"" placeholder:"FILE" help:"File to write the IDs of a request, job and item for rosemary explain."`
}

// Run runs the demo and writes the IDs of its subjects as shell assignments.
func (c *demoCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	subjects, err := demo.Run(ctx, demo.Config{
		Entries: c.Entries, APIKey: c.APIKey, Operator: c.Operator, OperatorKey: c.OperatorKey,
		Control: c.Control, PIDs: c.PIDs, Out: os.Stdout,
	})
	if err != nil {
		return err
	}
	text := fmt.Sprintf("DEMO_REQUEST=%s\nDEMO_JOB=%s\nDEMO_ITEM=%s\n", subjects.Request, subjects.Job, subjects.Item)
	return os.WriteFile(c.Subjects, []byte(text), 0o644)
}
