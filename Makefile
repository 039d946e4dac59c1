# Commands for development and CI. `make` without a target lists the targets.

GO ?= go

# The tests that KNOWN-RED.txt names in lines "  passed over: TestName".
KNOWN_RED_TESTS := $(shell sed -n 's/^  passed over: *//p' KNOWN-RED.txt)
empty :=
space := $(empty) $(empty)
SKIP := $(if $(KNOWN_RED_TESTS),-skip '^($(subst $(space),|,$(KNOWN_RED_TESTS)))$$')

.PHONY: help
help:
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/' | expand -t 14

.PHONY: dev
dev: ## run a whole small deployment on loopback
	$(GO) run ./cmd/turmericbarrow dev

.PHONY: build
build: ## build bin/turmericbarrow
	$(GO) build -o bin/turmericbarrow ./cmd/turmericbarrow

.PHONY: check
check: tools lint generated test model soak-regression ## everything that CI runs

.PHONY: tools
tools: ## install the Debian packages that the checks need
	@./scripts/install-tools

.PHONY: lint
lint: ## check formatting and run the linters
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "gofmt: files above"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) tool revive -config revive.toml -set_exit_status -exclude internal/wire/wire.pb.go -exclude platform/pmsg/pmsg.pb.go ./...

.PHONY: generate
generate: ## generate the wire types with protoc
	$(GO) build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=bin/protoc-gen-go --go_out=. --go_opt=module=github.com/turmericbarrow/turmericbarrow internal/wire/wire.proto platform/pmsg/pmsg.proto

.PHONY: generated
generated: ## check that the generated code is up to date
	@if command -v protoc >/dev/null; then $(MAKE) -s generate && git diff --exit-code --stat -- internal/wire platform/pmsg; \
	else echo "generated: skipped, protoc is not installed"; fi

.PHONY: test
test: ## run the tests with the race detector
	$(GO) test -race $(SKIP) ./...

.PHONY: model
model: ## check the specifications and their mutants with spin
	./model/check

.PHONY: bench
bench: ## run the Go benchmarks of the internal packages
	$(GO) test -run '^$$' -bench . -benchmem ./internal/...

.PHONY: measure
measure: ## run every scenario of the measure command and print a table
	$(GO) run ./cmd/turmericbarrow measure --scenario all --format text

.PHONY: capacity
capacity: ## run the measurements that docs/CAPACITY.md is based on
	$(GO) run ./cmd/turmericbarrow measure --scenario capacity --format text
	$(GO) test -run '^$$' -bench 'Capacity|Decision' -benchmem ./internal/...

.PHONY: soak-regression
soak-regression: ## run the soak test with the seeds of past failures
	SOAK_SEEDS=regression $(GO) test ./platform -run TestSoak -count=1 -parallel 2

.PHONY: soak
soak: ## run real processes under random faults; SEEDS=1-50 SECONDS_EACH=8
	SOAK_SEEDS=$(or $(SEEDS),1-50) SOAK_SECONDS=$(or $(SECONDS_EACH),8) $(GO) test ./platform -run TestSoak -count=1 -parallel 6 -timeout 60m -v

.PHONY: clean
clean: ## remove the build output
	rm -rf bin
