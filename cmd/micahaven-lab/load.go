package main

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/micahaven/micahaven/internal/entry"
	"github.com/micahaven/micahaven/internal/lab/load"
)

func newLoadCommand() *ffcli.Command {
	set := flag.NewFlagSet("micahaven-lab load", flag.ContinueOnError)
	targets := set.String("targets", "", "comma-separated base URLs of nodes")
	services := set.String("services", "", "comma-separated names of services")
	writes := set.Float64("writes", 0.2, "fraction of the requests that must not be retried")
	options := load.Options{Exponent: 1.1}
	set.Float64Var(&options.Rate, "rate", 100, "requests per second")
	set.DurationVar(&options.Duration, "duration", 10*time.Second, "duration of the load")
	set.Uint64Var(&options.Keys, "keys", 10000, "number of keys")
	set.DurationVar(&options.HotShift, "hot-shift", 0, "interval at which the set of popular keys changes")
	set.DurationVar(&options.Deadline, "deadline", 2*time.Second, "deadline of each request")
	set.Uint64Var(&options.Seed, "seed", 1, "seed of the random number generator")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "micahaven-lab load --targets URL,... --services NAME,... [flags]",
		ShortHelp:  "Send requests to nodes and check every response.",
		FlagSet:    set,
		Exec: func(ctx context.Context, _ []string) error {
			options.Targets = strings.Split(*targets, ",")
			for _, service := range strings.Split(*services, ",") {
				options.Mixes = append(options.Mixes, load.Mix{Service: service, Share: 1, WriteShare: *writes})
			}
			report := load.Run(ctx, options)
			fmt.Printf("done %d, not run %d, unknown %d, wrong responses %d, p50 %v, p99 %v\n",
				report.Count(entry.OutcomeDone), report.Count(entry.OutcomeNotRun), report.Count(entry.OutcomeUnknown),
				len(report.Wrong()), report.Quantile(50), report.Quantile(99))
			return nil
		},
	}
}
