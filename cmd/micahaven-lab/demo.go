package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/micahaven/micahaven/internal/lab/cluster"
	"github.com/micahaven/micahaven/internal/lab/demo"
)

func newDemoCommand() *ffcli.Command {
	set := flag.NewFlagSet("micahaven-lab demo", flag.ContinueOnError)
	program := set.String("micahaven", "bin/micahaven", "path of the micahaven program")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "micahaven-lab demo [flags]",
		ShortHelp:  "Start a whole system, move load, kill a server, and show what happened.",
		FlagSet:    set,
		Exec: func(ctx context.Context, _ []string) error {
			programs, err := programs(*program)
			if err != nil {
				return err
			}
			directory, err := os.MkdirTemp("", "micahaven-demo-")
			if err != nil {
				return err
			}
			if err := demo.Run(ctx, programs, directory, os.Stdout); err != nil {
				return fmt.Errorf("%w; logs are in %s", err, directory)
			}
			return os.RemoveAll(directory)
		},
	}
}

func programs(micahaven string) (cluster.Programs, error) {
	lab, err := os.Executable()
	return cluster.Programs{Micahaven: micahaven, Lab: lab}, err
}
