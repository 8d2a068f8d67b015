// Command ragwortstep runs a host, and provides the command line for operators
// and callers.
package main

import (
	"context"
	"os"

	"ragwortstep/internal/cli"
	"ragwortstep/internal/host"
	"ragwortstep/platform"
)

// version is set by the linker: -ldflags "-X main.version=1.2.3".
var version = "dev"

func main() {
	os.Exit(cli.Run(context.Background(), os.Args, cli.Options{Version: version, Serve: host.Serve, Platform: platform.Program{}}))
}
