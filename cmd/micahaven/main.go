// Command micahaven is the router: "micahaven node" is the daemon that every
// machine runs, and the other subcommands are the operators' tools.
package main

import (
	"context"
	"os"

	"github.com/micahaven/micahaven/internal/ctl"
)

func main() {
	os.Exit(ctl.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
