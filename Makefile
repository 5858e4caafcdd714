.PHONY: build test demo bench generate

build:
	go build -o bin/ ./cmd/...

test:
	tools/check.sh

generate:
	tools/generate.sh

demo: build
	tools/demo.sh

bench: build
	tools/bench.sh
