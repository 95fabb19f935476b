// Package process provides the main function that all daemons share: command line, settings, log, status
// endpoints, tracing and graceful shutdown.
package process

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	semconv "go.opentelemetry.io/otel/semconv/v1.37.0"

	"github.com/rosemarydyke/rosemarydyke/internal/clientconn"
	"github.com/rosemarydyke/rosemarydyke/internal/config"
)

// Version is the version that --version prints. It can be set with the linker flag -X.
var Version = "0.1.0-dev"

// exitUsage is the exit status for invalid arguments or settings.
const exitUsage = 2

const (
	// statusMemory and statusConnections bound the clients of the status endpoints.
	statusMemory      = 8 << 20
	statusConnections = 64
)

// flushTimeout bounds the export of the remaining spans at shutdown.
const flushTimeout = 2 * time.Second

// Flags are the command line flags of every daemon.
type Flags struct {
	Config  string           `required:"" placeholder:"FILE" help:"YAML file with the settings of this process."`
	Check   bool             `help:"Check the settings, print what is wrong, and exit."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

// Env is the environment that Main passes to a daemon.
type Env struct {
	// Log is the process's logger: JSON lines on standard error.
	Log zerolog.Logger
	// Ready is the state that /readyz reports. It is initially false.
	Ready *atomic.Bool
}

// Main parses the command line, loads the settings into a T and calls run until it returns.
// The context ends at SIGTERM or SIGINT; run then finishes what is in progress and returns.
// It exits with status 0 after a graceful shutdown, 1 after an error of run and 2 for invalid arguments or settings.
func Main[T any](name, description string, common func(*T) *config.Common, run func(ctx context.Context, env Env, settings *T) error) {
	var flags Flags
	kong.Parse(&flags, kong.Name(name), kong.Description(description), kong.Vars{"version": Version}, kong.UsageOnError())
	settings := new(T)
	if err := config.Load(flags.Config, settings); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(exitUsage)
	}
	if flags.Check {
		fmt.Printf("%s: settings are valid\n", flags.Config)
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := serve(ctx, name, common(settings), func(env Env) error { return run(ctx, env, settings) }); err != nil {
		os.Exit(1)
	}
}

func serve(ctx context.Context, name string, common *config.Common, run func(Env) error) error {
	log := NewLog(name, common)
	env := Env{Log: log, Ready: new(atomic.Bool)}
	flush, err := startTracing(ctx, name, common)
	if err != nil {
		log.Error().Err(err).Msg("tracing not started; the process exits")
		return err
	}
	defer flush()
	closeStatus, err := startStatus(common.Status, env.Ready, log)
	if err != nil {
		log.Error().Err(err).Msg("status endpoint not started; the process exits")
		return err
	}
	defer closeStatus()
	log.Info().Str("version", Version).Msg("started")
	if err := run(env); err != nil && !errors.Is(err, context.Canceled) {
		log.Error().Err(err).Msg("process failed; exiting")
		return err
	}
	log.Info().Msg("stopped")
	return nil
}

// NewLog returns the logger of a process: JSON lines on standard error.
func NewLog(name string, common *config.Common) zerolog.Logger {
	level, err := zerolog.ParseLevel(common.Log.Level)
	if err != nil || level == zerolog.NoLevel {
		level = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().
		Str("process", name).Str("vm", common.VM.Name).Int("pid", os.Getpid()).Logger()
}

func startTracing(ctx context.Context, name string, common *config.Common) (flush func(), err error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if common.Tracing.OTLPURL == "" {
		// Without an exporter the provider still generates trace IDs, which are passed to targets and logs.
		otel.SetTracerProvider(trace.NewTracerProvider())
		return func() {}, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(common.Tracing.OTLPURL))
	if err != nil {
		return nil, fmt.Errorf("create OTLP exporter: %w", err)
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithResource(resource.NewSchemaless(semconv.ServiceName(name), semconv.ServiceInstanceID(common.VM.Name))),
	)
	otel.SetTracerProvider(provider)
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		_ = provider.Shutdown(ctx)
	}, nil
}

func startStatus(address string, ready *atomic.Bool, log zerolog.Logger) (closeStatus func(), err error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready.Load() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	guard := clientconn.New(clientconn.Config{Memory: statusMemory, Connections: statusConnections, Log: log})
	listener, err := guard.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for status: %w", err)
	}
	server := guard.Server(mux)
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }, nil
}
