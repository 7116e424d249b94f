# Two commands need nothing but Go: make demo, make test.
DEPLOYMENT ?= alpenpass
FOR ?= 20s

.PHONY: build test demo lint format generate faults docs-tables

build:
	go build -o bin/ ./cmd/...

test:
	go test -race -timeout 8m ./... ./bench/...

demo:
	go run ./cmd/hornbeamctl demo -deployment $(DEPLOYMENT) -for $(FOR)

lint:
	.ci/tools golangci-lint run ./... ./bench/...

format:
	.ci/tools golangci-lint fmt ./... ./bench/...

generate:
	.ci/tools buf generate

# Rewrites docs/EVENTS.md and docs/SETTINGS.md from the code.
docs-tables events:
	go test ./internal/event -run TestCatalogueMatchesDocs -update
	go test ./internal/settings -run TestSchemaMatchesDocs -update

# Runs every fault case with real processes; about ten minutes.
faults:
	go test -timeout 60m ./test/faults -every
