package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/micahaven/micahaven/internal/group"
	"github.com/micahaven/micahaven/internal/groups"
	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/machines"
	"github.com/micahaven/micahaven/internal/operator"
	"github.com/micahaven/micahaven/internal/placement"
	"github.com/micahaven/micahaven/internal/table"
)

func newPlanCommand(output, errorOutput io.Writer) *ffcli.Command {
	set := newFlagSet("micahaven plan", errorOutput)
	flags := addClientFlags(set)
	return &ffcli.Command{
		Name:       "plan",
		ShortUsage: "micahaven plan [flags] SERVICE SITE FIELD=VALUE...",
		ShortHelp:  "Show which slices would move if a row were changed, and change nothing.",
		LongHelp:   "Example:\n  micahaven plan --node 127.0.0.1:7003 formula old weight=0",
		FlagSet:    set,
		Exec: func(ctx context.Context, arguments []string) error {
			const namesCount = 2
			if len(arguments) <= namesCount {
				return usageError("plan: allowed: SERVICE SITE FIELD=VALUE...")
			}
			node, err := flags.client()
			if err != nil {
				return err
			}
			row, _, err := findRow(ctx, node, arguments[0], arguments[1])
			if err != nil {
				return err
			}
			if err := assignFields(&row, arguments[namesCount:]); err != nil {
				return err
			}
			forecast, err := makeForecast(ctx, node, row)
			if err != nil {
				return err
			}
			if *flags.output == outputJSON {
				return writeJSON(output, forecast)
			}
			return writeForecast(output, forecast)
		},
	}
}

// Forecast is what a change would do.
type Forecast struct {
	Service         identity.ServiceName `json:"service"`
	Slices          int                  `json:"slices"`
	ImbalanceBefore float64              `json:"imbalance_before"`
	ImbalanceAfter  float64              `json:"imbalance_after"`
	Moves           []Move               `json:"moves"`
}

// Move is one slice that would get another owner.
type Move struct {
	Slice uint32            `json:"slice"`
	From  identity.ServerID `json:"from"`
	To    identity.ServerID `json:"to"`
}

func makeForecast(ctx context.Context, node *client, row table.Row) (*Forecast, error) {
	var view operator.TableView
	if err := node.get(ctx, "table", &view); err != nil {
		return nil, err
	}
	var status operator.NodeStatus
	if err := node.get(ctx, "status", &status); err != nil {
		return nil, err
	}
	var services []group.Status
	if err := node.get(ctx, "services", &services); err != nil {
		return nil, err
	}
	changed := withRow(tableOf(view), row)
	policy := changed.Policy(row.Service)
	at := slices.IndexFunc(services, func(s group.Status) bool { return s.Service == string(row.Service) })
	if policy == nil || at < 0 || len(services[at].Slices) == 0 {
		return nil, usageError("service %s has no leader that answers", row.Service)
	}
	return forecast(policy, services[at], changed, status.Machines), nil
}

// withRow returns a copy of a table with one row replaced or added.
func withRow(current *table.Table, row table.Row) *table.Table {
	changed := &table.Table{Policies: current.Policies}
	for _, other := range current.Rows {
		if other.Service != row.Service || other.Site != row.Site {
			changed.Rows = append(changed.Rows, other)
		}
	}
	changed.Rows = append(changed.Rows, row)
	return changed
}

// forecast plans as the leader would, with the load as it is now.
func forecast(policy *table.Policy, status group.Status, changed *table.Table, listed []machines.Machine) *Forecast {
	live := make(map[identity.ServerID]bool)
	for _, server := range status.Servers {
		live[server.ID] = server.Live
	}
	input := placement.Input{Tolerance: policy.Tolerance}
	for _, slice := range status.Slices {
		input.Current = append(input.Current, slice.Server)
		input.Loads = append(input.Loads, slice.LoadPerSec)
	}
	for _, server := range groups.Servers(policy.Service, changed, listed) {
		if live[server.Spec.ID] && !server.Spec.Leaving && server.Spec.Weight > 0 {
			input.Targets = append(input.Targets, placement.Target{Server: server.Spec.ID, Weight: server.Spec.Weight})
		}
	}
	wanted := placement.Plan(input)
	result := &Forecast{Service: policy.Service, Slices: len(wanted), ImbalanceBefore: status.Imbalance}
	if len(input.Targets) > 0 {
		result.ImbalanceAfter = placement.Imbalance(input, wanted)
	}
	for slice, to := range wanted {
		if from := input.Current[slice]; from != to {
			result.Moves = append(result.Moves, Move{Slice: uint32(slice), From: from, To: to})
		}
	}
	return result
}

// pair is a direction in which slices move.
type pair struct {
	from, to identity.ServerID
}

func writeForecast(output io.Writer, result *Forecast) error {
	counts := make(map[pair]int)
	var pairs []pair
	for _, move := range result.Moves {
		direction := pair{from: move.From, to: move.To}
		if counts[direction] == 0 {
			pairs = append(pairs, direction)
		}
		counts[direction]++
	}
	slices.SortFunc(pairs, func(a, b pair) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to)) })
	for _, direction := range pairs {
		fmt.Fprintf(output, "%s -> %s: %d slices\n", direction.from, direction.to, counts[direction])
	}
	_, err := fmt.Fprintf(output, "%d of %d slices of %s would move; imbalance %.2f now, %.2f afterwards\n",
		len(result.Moves), result.Slices, result.Service, result.ImbalanceBefore, result.ImbalanceAfter)
	return err
}
