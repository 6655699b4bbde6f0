// Command micahaven-router runs a router node on the users' platform.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/micahaven/micahaven/internal/router"
	"github.com/micahaven/micahaven/platform"
)

func main() {
	settings := flag.String("settings", "", "path of the settings file")
	flag.Parse()
	if err := router.Run(context.Background(), *settings, platform.New, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
