// Command micahaven is the router: "micahaven node" is the daemon that runs on every machine, and
// the other subcommands are tools for operators.
package main

import (
	"context"
	"os"

	"github.com/micahaven/micahaven/internal/ctl"
)

func main() {
	os.Exit(ctl.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
