package handoff

import (
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/homes"
)

const (
	// pathBackoff is how long a node gets no requests for a target after it refused one for want of
	// a path to it.
	pathBackoff = 500 * time.Millisecond
	// maxSubstitutes is how many nodes that are no homes a request is offered to, and
	// maxSubstituteDraws how often one is drawn for that.
	maxSubstitutes     = 3
	maxSubstituteDraws = 24
	// maxFailedPaths is the number of recorded failures from which expired ones are dropped.
	maxFailedPaths = 1024
)

// target is what a request needs a path to: the owner of its key, or any server of an unsharded
// service.
type target struct {
	server  discovery.ServerID
	service string
}

func targetOf(request *dispatch.Request, to dispatch.Destination) target {
	return target{server: to.Server, service: request.Service}
}

// String implements fmt.Stringer, for logs.
func (t target) String() string {
	if t.server != "" {
		return "server " + string(t.server)
	}
	return "service " + t.service
}

// nodePath is the path from a node to a target.
type nodePath struct {
	node string
	target
}

// paths tracks which other nodes have no path to a target. A server that one node does not reach may
// be reached by others. The caller must synchronize access.
type paths struct {
	failedUntil map[nodePath]time.Time
	// substitute holds the node that is no home and last reached a target.
	substitute map[target]homes.Node
	logger     *zap.Logger
}

func newPaths(logger *zap.Logger) paths {
	return paths{failedUntil: make(map[nodePath]time.Time), substitute: make(map[target]homes.Node), logger: logger}
}

// failed reports whether a node is to be skipped for a target.
func (p *paths) failed(now time.Time, node string, to target) bool {
	return now.Before(p.failedUntil[nodePath{node, to}])
}

// markFailed records that a node has no path to a target.
func (p *paths) markFailed(now time.Time, node string, to target) {
	if p.failed(now, node, to) {
		return
	}
	if len(p.failedUntil) >= maxFailedPaths {
		p.prune(now)
	}
	p.failedUntil[nodePath{node, to}] = now.Add(pathBackoff)
	if p.substitute[to].Name == node {
		delete(p.substitute, to)
	}
	p.logger.Info("node has no path to the target, skipping it temporarily", zap.String("home", node), zap.Stringer("target", to), zap.Duration("for", pathBackoff))
}

// markSubstitute records that a node which is no home has a path to a target.
func (p *paths) markSubstitute(to target, node homes.Node) {
	if len(p.substitute) >= maxFailedPaths {
		clear(p.substitute)
	}
	p.substitute[to] = node
}

// prune drops failures that have expired.
func (p *paths) prune(now time.Time) {
	for path, until := range p.failedUntil {
		if !now.Before(until) {
			delete(p.failedUntil, path)
		}
	}
}
