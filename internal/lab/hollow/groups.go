// Package hollow measures what the control work costs, by running the product's
// own pure packages for many nodes in one process, on simulated time.
package hollow

import (
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/micahaven/micahaven/internal/simulation"
)

// GroupCost is what one ownership group costs.
type GroupCost struct {
	Groups        int     `json:"groups"`
	Servers       int     `json:"servers_per_group"`
	Slices        uint32  `json:"slices_per_group"`
	CPUMicros     float64 `json:"cpu_microseconds_per_group_second"`
	ReplicaPerSec float64 `json:"replica_messages_per_group_second"`
	ReplicaBytes  float64 `json:"replica_bytes_per_group_second"`
	SessionPerSec float64 `json:"session_calls_per_group_second"`
	SessionBytes  float64 `json:"session_body_bytes_per_group_second"`
}

// simulatedLength is how long each group is run, in simulated time.
const simulatedLength = 20 * time.Second

// MeasureGroups runs a number of groups of three members, without failures, and
// returns the cost of one. The CPU time is that of all three members and of the
// simulated network, so it is an upper bound for the protocol itself.
func MeasureGroups(groups, servers int, slices uint32) (GroupCost, error) {
	var meter simulation.Meter
	runtime.GC()
	before, err := processorTime()
	if err != nil {
		return GroupCost{}, err
	}
	for seed := range uint64(groups) {
		result := simulation.Run(simulation.Options{
			Seed: seed, Nodes: 3, Servers: servers, Slices: slices, Duration: simulatedLength,
			Unchecked: true, Meter: &meter,
		})
		if result.Assigned == 0 {
			return GroupCost{}, errors.Newf("group %d assigned nothing", seed)
		}
	}
	after, err := processorTime()
	if err != nil {
		return GroupCost{}, err
	}
	total := float64(groups) * simulatedLength.Seconds()
	return GroupCost{
		Groups:        groups,
		Servers:       servers,
		Slices:        slices,
		CPUMicros:     float64((after - before).Microseconds()) / total,
		ReplicaPerSec: float64(meter.ReplicaMessages) / total,
		ReplicaBytes:  float64(meter.ReplicaBytes) / total,
		SessionPerSec: float64(meter.SessionMessages) / total,
		SessionBytes:  float64(meter.SessionBytes) / total,
	}, nil
}

// processorTime returns the processor time that this process has used.
func processorTime() (time.Duration, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
