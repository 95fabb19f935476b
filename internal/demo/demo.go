// Package demo shows the main job on a running local fleet and checks that it held.
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

// requestTimeout bounds one call that is no stream.
const requestTimeout = 30 * time.Second

// Config says where the fleet is.
type Config struct {
	// Entries are the base URLs of the entries of VM 1, 2 and 3. Required.
	Entries []string
	// APIKey is a client's key. Required.
	APIKey string
	// Operator is the base URL of an operators' interface on a VM other than VM 2. Required.
	Operator string
	// OperatorKey is the key of an operator of the whole tree. Required.
	OperatorKey string
	// Control is the base URL of the stand-ins' control interface. Required.
	Control string
	// PIDs is the directory with the process ids. Required.
	PIDs string
	// Out receives an account of what happens.
	Out io.Writer
}

// Subjects are what can be asked about afterwards.
type Subjects struct {
	// Request is the id of an online request.
	Request string
	// Job is the id of the batch job and Item the custom_id of one of its items.
	Job  string
	Item string
}

// demo is one run.
type demo struct {
	config   Config
	http     *http.Client
	subjects Subjects
}

type step struct {
	name string
	run  func(context.Context) error
}

// Run carries out all steps. It stops at the first that does not hold.
func Run(ctx context.Context, config Config) (Subjects, error) {
	d := &demo{config: config, http: &http.Client{Timeout: requestTimeout}}
	steps := []step{
		{"A streamed online answer", d.streamedAnswer},
		{"Online requests through entries that do not own the target", d.crossEntry},
		{"A settings change accepted by one VM and seen by all", d.settingsChange},
		{"A plain service's call that is idempotent", d.idempotentCall},
		{"A plain service's call that is not, with its answer lost", d.nonIdempotentCall},
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

// client returns a stock client of the callers' interface at one entry.
func (d *demo) client(entry string) openai.Client {
	return openai.NewClient(option.WithBaseURL(entry+"/v1"), option.WithAPIKey(d.config.APIKey))
}
