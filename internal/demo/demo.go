// Package demo demonstrates the main features on a running local fleet and checks their results.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// requestTimeout is the timeout of a request that is not streamed.
const requestTimeout = 30 * time.Second

// Config is the location of the fleet and its credentials.
type Config struct {
	// Entries are the base URLs of the entries of VM 1, 2 and 3. Required.
	Entries []string
	// APIKey is the API key of a client. Required.
	APIKey string
	// Operator is the base URL of the operator interface of a VM other than VM 2, which is killed. Required.
	Operator string
	// OperatorKey is the key of an operator of the whole settings tree. Required.
	OperatorKey string
	// Control is the base URL of the stand-ins' control interface. Required.
	Control string
	// PIDs is the directory with one file per process that holds its process ID. Required.
	PIDs string
	// Out receives the progress of the demo. Required.
	Out io.Writer
}

// Subjects are IDs from the demo that can be passed to rosemary explain afterwards.
type Subjects struct {
	// Request is the ID of an online request.
	Request string
	// Job is the ID of the batch job, Item the custom_id of one of its items.
	Job  string
	Item string
}

// demo is one run of the demo.
type demo struct {
	config   Config
	http     *http.Client
	subjects Subjects
}

type step struct {
	name string
	run  func(context.Context) error
}

// Run runs all steps. It stops at the first one that fails and returns its error.
func Run(ctx context.Context, config Config) (Subjects, error) {
	d := &demo{config: config, http: &http.Client{Timeout: requestTimeout}}
	steps := []step{
		{"A streamed online response", d.streamedResponse},
		{"Online requests through entries that do not own the target", d.requestsThroughOtherEntries},
		{"A settings change accepted by one VM and seen by all", d.settingsChange},
		{"An idempotent call to a plain service", d.idempotentCall},
		{"A non-idempotent call to a plain service, with its response lost", d.nonIdempotentCall},
		{"A batch job under online load, one VM killed halfway", d.batchJob},
		{"Explanations", d.explanations},
	}
	for _, s := range steps {
		d.print("\n== %s\n", s.name)
		if err := s.run(ctx); err != nil {
			d.print("FAILED: %v\n", err)
			return d.subjects, fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return d.subjects, nil
}

func (d *demo) print(format string, args ...any) {
	_, _ = fmt.Fprintf(d.config.Out, format, args...)
}

// client returns an unmodified OpenAI client for one entry.
func (d *demo) client(entry string) openai.Client {
	return openai.NewClient(option.WithBaseURL(entry+"/v1"), option.WithAPIKey(d.config.APIKey))
}
