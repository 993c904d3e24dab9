# make run   serves an example mesh on loopback
# make test  formats, vets, lints and tests everything
GO ?= go

.PHONY: build run test format vet lint unit models

build:
	$(GO) build -o bin/cardamomhatch ./cmd/cardamomhatch

run: build
	bin/cardamomhatch dev --deployment hanskasmidjan

test: format vet lint unit models

format:
	@unformatted=$$(gofmt -l cmd internal); \
	if [ -n "$$unformatted" ]; then echo "gofmt needed: $$unformatted"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...

unit:
	scripts/unit-tests.sh

models:
	models/check.sh
