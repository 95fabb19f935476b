GO ?= go
BINARIES := rosemary rosemary-entry rosemary-batch rosemary-operator rosemary-standin rosemary-load

.PHONY: build test lint unit up demo bench capacity fuzz soak

build:
	mkdir -p bin
	$(GO) build -o bin/ ./cmd/...

# Starts stand-ins and three entry VMs on 127.0.0.1 and runs them in the foreground until Ctrl-C.
up: build
	@exec ./scripts/fleet.sh

# Runs the demo on a local fleet of its own. Exits with status 0 only if every step succeeds.
demo: build
	@./scripts/demo.sh

test: lint unit

lint:
	@unformatted=$$(gofmt -l $$(git ls-files -co --exclude-standard '*.go')); \
	if [ -n "$$unformatted" ]; then echo "gofmt would change:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

unit:
	GO="$(GO)" ./scripts/unit.sh

# Runs the long experiments with all policies and writes a table, a JSON report and plots to docs/bench.
bench:
	mkdir -p docs/bench
	ROSEMARYDYKE_REPORT=$(CURDIR)/docs/bench $(GO) test -count=1 -run TestWriteReport ./internal/experiment
	$(GO) run ./cmd/rosemary-load report docs/bench/report.json --plots docs/bench

# Writes the measurements at several sizes on which docs/CAPACITY.md is based.
capacity:
	ROSEMARYDYKE_CAPACITY=$(CURDIR)/docs/capacity $(GO) test -count=1 -p 1 -timeout 20m -run 'TestWrite.*Cost' ./...

# Runs the property-based tests with a fresh seed. To reproduce a failure, set ROSEMARYDYKE_FUZZ_SEED to the printed seed.
FUZZ_CHECKS ?= 5000
fuzz:
	@seed=$${ROSEMARYDYKE_FUZZ_SEED:-$$(date +%s)}; echo "ROSEMARYDYKE_FUZZ_SEED=$$seed"; \
	ROSEMARYDYKE_FUZZ_SEED=$$seed ROSEMARYDYKE_FUZZ_CHECKS=$(FUZZ_CHECKS) $(GO) test -count=1 -timeout 60m \
		./connreuse ./dispatch ./idempotency ./internal/callerapi ./internal/idempotency ./internal/jobstore ./internal/settingstore \
		./job ./lease ./member ./quarantine ./ratelimit ./reach ./target

# Plays fleets of real processes under random faults, one after another from SEED on. FRAMINGS is a list of chunked, length and
# connection. Set ROSEMARYDYKE_INGRESS to play another build. The logs of a failed seed are kept.
SEED ?= 1
SEEDS ?= 10
MINUTES ?= 0.5
VMS ?= 3
FRAMINGS ?= chunked,length,connection
soak:
	ROSEMARYDYKE_SOAK_SEED=$(SEED) ROSEMARYDYKE_SOAK_SEEDS=$(SEEDS) ROSEMARYDYKE_SOAK_MINUTES=$(MINUTES) \
	ROSEMARYDYKE_SOAK_VMS=$(VMS) ROSEMARYDYKE_SOAK_FRAMINGS=$(FRAMINGS) \
	$(GO) test -count=1 -v -timeout 4h -run TestSoak ./internal/soak
