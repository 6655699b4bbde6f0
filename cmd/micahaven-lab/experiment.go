package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/micahaven/micahaven/internal/lab/experiment"
)

func newExperimentCommand() *ffcli.Command {
	set := flag.NewFlagSet("micahaven-lab experiment", flag.ContinueOnError)
	program := set.String("micahaven", "bin/micahaven", "path of the micahaven program")
	faults := set.String("faults", "each", `faults with commas between runs and plus signs within one; "each" or "pairs"`)
	deployment := set.String("deployment", "small", "small, tintamezcla or umurage")
	runs := set.Int("runs", 1, "runs of each set of faults, with consecutive seeds")
	seed := set.Uint64("seed", 1, "first seed")
	rate := set.Float64("rate", 400, "requests per second")
	outage := set.Duration("outage", 2*time.Second, "duration of freezes, network cuts and outages")
	settle := set.Duration("settle", 3*time.Second, "how long the load continues after the faults")
	keep := set.Bool("keep-logs", false, "keep the logs of all processes")
	parallel := set.Int("parallel", 1, "number of concurrent runs")
	output := set.String("report", "", "directory for the results as JSON and for the report")
	return &ffcli.Command{
		Name:       "experiment",
		ShortUsage: "micahaven-lab experiment [flags]",
		ShortHelp:  "Run systems of processes under load and faults, and check all guarantees.",
		LongHelp: `Ends with 1 when a promise was broken or a run failed.

Examples:
  micahaven-lab experiment --faults kill-server,freeze-leader+platform-down
  micahaven-lab experiment --faults pairs --runs 2 --parallel 2`,
		FlagSet: set,
		Exec: func(ctx context.Context, _ []string) error {
			chosen, err := chooseDeployment(*deployment)
			if err != nil {
				return err
			}
			sets, err := chooseFaults(*faults)
			if err != nil {
				return err
			}
			paths, err := programs(*program)
			if err != nil {
				return err
			}
			var all []experiment.Options
			for _, set := range sets {
				for run := range uint64(*runs) {
					all = append(all, experiment.Options{
						Deployment: chosen, Faults: set, Outage: *outage, Rate: *rate, Seed: *seed + run, Settle: *settle,
						KeepLogs: *keep,
					})
				}
			}
			results, failures := experiment.RunAll(ctx, paths, all, *parallel, func(line string) { fmt.Println(line) })
			if *output != "" {
				if err := writeReport(*output, results); err != nil {
					return err
				}
			}
			return verdict(results, failures)
		},
	}
}

func chooseDeployment(name string) (experiment.Deployment, error) {
	for _, known := range experiment.Deployments {
		if known.Name == name {
			return known, nil
		}
	}
	return experiment.Deployment{}, fmt.Errorf("flag --deployment: %q, allowed: small, tintamezcla, umurage", name)
}

func chooseFaults(text string) ([][]experiment.Fault, error) {
	var sets [][]experiment.Fault
	switch text {
	case "each":
		for _, fault := range experiment.Faults {
			sets = append(sets, []experiment.Fault{fault})
		}
	case "pairs":
		for i, first := range experiment.Faults {
			for _, second := range experiment.Faults[i+1:] {
				sets = append(sets, []experiment.Fault{first, second})
			}
		}
	default:
		for _, names := range strings.Split(text, ",") {
			set, err := experiment.ParseFaults(names)
			if err != nil {
				return nil, err
			}
			sets = append(sets, set)
		}
	}
	return sets, nil
}

func writeReport(directory string, results []*experiment.Result) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(directory+"/results.json", text, 0o600)
}

func verdict(results []*experiment.Result, failures []error) error {
	broken := 0
	for _, result := range results {
		broken += len(result.Violations)
	}
	fmt.Printf("%d runs, %d violations, %d failed runs\n", len(results), broken, len(failures))
	if broken > 0 || len(failures) > 0 {
		return fmt.Errorf("%d violations, %d failed runs", broken, len(failures))
	}
	return nil
}
