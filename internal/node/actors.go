package node

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/groups"
	"github.com/micahaven/micahaven/internal/machines"
	"github.com/micahaven/micahaven/internal/periodic"
)

const (
	tickInterval    = 10 * time.Millisecond
	compareInterval = time.Second
	// handOverLimit bounds how long a planned stop waits for running requests.
	handOverLimit = 20 * time.Second
	handOverPause = 5 * time.Millisecond
	// successorLimit bounds the wait for the successors to report.
	successorLimit = time.Second
	// answerLimit bounds how long callers' requests may run on while the node stops, and
	// shutdownLimit, a little later, when their connections are closed.
	answerLimit   = 9 * time.Second
	shutdownLimit = 10 * time.Second
)

// AddActors adds everything that runs in the node to a group of actors.
func (n *Node) AddActors(actors *run.Group) {
	n.addLoop(actors, n.pollMachines)
	n.addLoop(actors, n.followTable)
	n.addLoop(actors, n.registry.Run)
	n.addLoop(actors, n.tick)
	n.addLoop(actors, n.compare)
	actors.Add(n.server.Serve, func(error) { n.server.Close() })
	n.addHTTP(actors, n.operators, func() error { return n.operators.Server.Serve(n.listeners.Operators) })
	n.addHTTP(actors, n.callers, func() error { return n.callers.Server.Serve(n.listeners.Callers) })
}

func (n *Node) addLoop(actors *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	actors.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

func (n *Node) addHTTP(actors *run.Group, server *echo.Echo, serve func() error) {
	server.Server.Handler = server
	actors.Add(func() error {
		if err := serve(); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve HTTP")
		}
		if n.draining.Load() {
			// The first actor that returns ends all others.
			<-n.drained
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
		defer cancel()
		if err := server.Server.Shutdown(ctx); err != nil {
			n.logger.Warn("HTTP server stopped with requests running", zap.Error(err))
		}
	})
}

// Drain prepares a planned stop: it hands every group that this node leads to
// another member, then waits for the requests of callers to end. What takes too long
// is answered as unknown or not run. It must run before the actors are interrupted.
func (n *Node) Drain() {
	n.draining.Store(true)
	defer close(n.drained)
	deadline := time.Now().Add(handOverLimit)
	for time.Now().Before(deadline) {
		if n.handOverAll() {
			break
		}
		time.Sleep(handOverPause)
	}
	n.waitForSuccessors()
	n.ending.Set(time.Now().Add(answerLimit))
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	if err := n.callers.Server.Shutdown(ctx); err != nil {
		n.logger.Warn("callers' requests still run", zap.Error(err))
	}
}

func (n *Node) handOverAll() bool {
	done := true
	for _, known := range n.registry.All() {
		done = known.HandOver() && done
	}
	return done
}

// waitForSuccessors waits until every group has told this node of its leader.
// The message that names the successor is only queued when a group is handed
// over: a process that ended at once would take it along.
func (n *Node) waitForSuccessors() {
	deadline := time.Now().Add(successorLimit)
	for time.Now().Before(deadline) {
		waiting := false
		for _, known := range n.registry.All() {
			waiting = waiting || !known.KnowsLeader()
		}
		if !waiting {
			return
		}
		time.Sleep(handOverPause)
	}
}

// Close frees what the actors do not own.
func (n *Node) Close() {
	n.client.Close()
	n.requests.Close()
	n.sessions.Close()
}

func (n *Node) tick(ctx context.Context) error {
	return periodic.Run(ctx, tickInterval, func(context.Context) { n.registry.Tick() })
}

func (n *Node) compare(ctx context.Context) error {
	return periodic.Run(ctx, compareInterval, func(context.Context) { n.exchange.Compare(n.peers()) })
}

func (n *Node) followTable(ctx context.Context) error {
	return n.table.Follow(ctx, n.followsTable, n.publishTable)
}

// followersPerZone is how many nodes of each zone follow the table in the
// key-value service; the others hear of changes from them.
const followersPerZone = 2

// followsTable reports whether this node is one of its zone's followers. A node
// that does not find itself on the machine list follows, to be safe.
func (n *Node) followsTable() bool {
	var zone []machines.Machine
	for _, machine := range n.machineList() {
		if machine.Kind == machines.KindNode && machine.Zone == n.self.GetZone() {
			zone = append(zone, machine)
		}
	}
	const rankOf = "table"
	position := slices.IndexFunc(groups.Rank(rankOf, zone), func(m machines.Machine) bool {
		return m.ID == n.self.GetNode()
	})
	return position < followersPerZone
}
