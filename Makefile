GO ?= go
BINARIES := rosemary rosemary-entry rosemary-batch rosemary-operator rosemary-standin rosemary-load

.PHONY: build test lint unit

build:
	mkdir -p bin
	$(GO) build -o bin/ ./cmd/...

test: lint unit

lint:
	@unformatted=$$(gofmt -l $$(git ls-files -co --exclude-standard '*.go')); \
	if [ -n "$$unformatted" ]; then echo "gofmt would change:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

unit:
	GO="$(GO)" ./scripts/unit.sh
