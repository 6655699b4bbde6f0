#!/usr/bin/env bash
# Generates the Go code of the inner protocol. Needs Debian's protobuf-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
protoc --plugin=bin/protoc-gen-go -I internal/wire --go_out=internal/wire --go_opt=paths=source_relative wire.proto shards.proto
