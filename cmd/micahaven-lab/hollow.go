package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/micahaven/micahaven/internal/lab/hollow"
	"github.com/micahaven/micahaven/internal/lab/report"
)

func newHollowCommand() *ffcli.Command {
	set := flag.NewFlagSet("micahaven-lab hollow", flag.ContinueOnError)
	return &ffcli.Command{
		Name:       "hollow",
		ShortUsage: "micahaven-lab hollow",
		ShortHelp:  "Measure what control costs, with hollow nodes at several sizes.",
		FlagSet:    set,
		Exec: func(ctx context.Context, _ []string) error {
			measured, err := measureHollow(ctx)
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(os.Stdout)
			encoder.SetIndent("", "  ")
			return encoder.Encode(measured)
		},
	}
}

func measureHollow(ctx context.Context) (report.Hollow, error) {
	var measured report.Hollow
	for _, size := range []struct {
		groups, servers int
		slices          uint32
	}{{20, 1, 64}, {20, 5, 64}, {20, 15, 64}, {80, 5, 64}, {320, 5, 64}, {20, 5, 256}} {
		if err := ctx.Err(); err != nil {
			return measured, err
		}
		cost, err := hollow.MeasureGroups(size.groups, size.servers, size.slices)
		if err != nil {
			return measured, err
		}
		measured.Groups = append(measured.Groups, cost)
	}
	// 7,500 changes a day are 0.087 a second; the cost of one a second scales down.
	for _, size := range []struct {
		nodes, items int
		changes      float64
	}{{100, 300, 1}, {700, 300, 1}, {2800, 300, 1}, {700, 1200, 1}, {700, 300, 4}} {
		if err := ctx.Err(); err != nil {
			return measured, err
		}
		cost, err := hollow.MeasureGossip(size.nodes, size.items, size.changes, 1)
		if err != nil {
			return measured, err
		}
		measured.Gossip = append(measured.Gossip, cost)
	}
	return measured, nil
}
