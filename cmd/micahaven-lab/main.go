// Command micahaven-lab runs the simulated platform and servers, the load generator and the
// experiments. None of its code is linked into micahaven.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &ffcli.Command{
		Name:       "micahaven-lab",
		ShortUsage: "micahaven-lab <subcommand> [flags]",
		ShortHelp:  "Simulated platform and servers, load generator and experiments for micahaven.",
		FlagSet:    flag.NewFlagSet("micahaven-lab", flag.ContinueOnError),
		Exec:       func(context.Context, []string) error { return flag.ErrHelp },
		Subcommands: []*ffcli.Command{
			newPlatformCommand(),
			newServerCommand(),
			newLoadCommand(),
			newDemoCommand(),
			newUpCommand(),
			newExperimentCommand(),
			newReportCommand(),
		},
	}
	err := root.ParseAndRun(ctx, os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintf(os.Stderr, "micahaven-lab: %v\n", err)
		os.Exit(1)
	}
}
