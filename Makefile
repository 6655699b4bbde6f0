# The two commands of the README are "make demo" and "make test".

GO ?= go

.PHONY: build demo test generate bench

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	./bin/micahaven-lab demo

test:
	./scripts/test.sh

bench: build
	./scripts/bench.sh

generate:
	./scripts/generate.sh
