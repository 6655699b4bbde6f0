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
		ShortHelp:  "Start a complete system, move load, kill a server, and show what happened.",
		FlagSet:    set,
		Exec: func(ctx context.Context, _ []string) error {
			return withDirectory(*program, func(programs cluster.Programs, directory string) error {
				return demo.Run(ctx, programs, directory, os.Stdout)
			})
		},
	}
}

func newUpCommand() *ffcli.Command {
	set := flag.NewFlagSet("micahaven-lab up", flag.ContinueOnError)
	program := set.String("micahaven", "bin/micahaven", "path of the micahaven program")
	return &ffcli.Command{
		Name:       "up",
		ShortUsage: "micahaven-lab up [flags]",
		ShortHelp:  "Start the system of the demo and keep it running until interrupted.",
		FlagSet:    set,
		Exec: func(ctx context.Context, _ []string) error {
			return withDirectory(*program, func(programs cluster.Programs, directory string) error {
				return runUntilDone(ctx, programs, directory)
			})
		},
	}
}

func runUntilDone(ctx context.Context, programs cluster.Programs, directory string) error {
	system, err := demo.StartSystem(programs, directory)
	if system != nil {
		defer system.Close()
	}
	if err != nil {
		return err
	}
	for _, name := range demo.NodeNames {
		ready := system.Nodes[name].Ready
		fmt.Printf("%s: callers %s, operators %s\n", name, ready.Callers, ready.Operators)
	}
	<-ctx.Done()
	return nil
}

// withDirectory calls run with a temporary directory for settings and logs, which is kept if run
// fails.
func withDirectory(micahaven string, run func(programs cluster.Programs, directory string) error) error {
	programs, err := programs(micahaven)
	if err != nil {
		return err
	}
	directory, err := os.MkdirTemp("", "micahaven-lab-")
	if err != nil {
		return err
	}
	if err := run(programs, directory); err != nil {
		return fmt.Errorf("%w; logs are in %s", err, directory)
	}
	return os.RemoveAll(directory)
}

func programs(micahaven string) (cluster.Programs, error) {
	lab, err := os.Executable()
	return cluster.Programs{Micahaven: micahaven, Lab: lab}, err
}
