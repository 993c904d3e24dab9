# make run   serves an example mesh on loopback
# make test  checks the format, vets, lints, runs all tests and checks the models
GO ?= go

.PHONY: build run test tools format vet lint unit models

build:
	$(GO) build -o bin/cardamomhatch ./cmd/cardamomhatch

run: build
	bin/cardamomhatch dev --deployment hanskasmidjan

test: tools format vet lint unit models

# Fails before anything else runs if a tool that Go does not provide is missing.
tools:
	@command -v spin >/dev/null 2>&1 || { echo "spin is missing; install it: apt-get install spin" >&2; exit 1; }

format:
	@unformatted=$$(gofmt -l cmd internal platform); \
	if [ -n "$$unformatted" ]; then echo "gofmt needed: $$unformatted"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...

unit:
	scripts/unit-tests.sh

models:
	models/check.sh
