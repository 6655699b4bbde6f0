package handoff

import (
	"time"

	"go.uber.org/zap"

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

// targetOf names what a request needs a path to: the owner of its key, or any server of an unsharded
// service.
func targetOf(request *dispatch.Request, to dispatch.Destination) string {
	if to.Server != "" {
		return "server " + string(to.Server)
	}
	return "service " + request.Service
}

// nodePath is the path from a node to a target.
type nodePath struct{ node, target string }

// paths tracks which other nodes have no path to a target. A server that one node does not reach may
// be reached by others. The caller must synchronize access.
type paths struct {
	failedUntil map[nodePath]time.Time
	// substitute holds the node that is no home and last reached a target.
	substitute map[string]homes.Node
	logger     *zap.Logger
}

func newPaths(logger *zap.Logger) paths {
	return paths{failedUntil: make(map[nodePath]time.Time), substitute: make(map[string]homes.Node), logger: logger}
}

// failed reports whether a node is to be skipped for a target.
func (p *paths) failed(now time.Time, node, target string) bool {
	return now.Before(p.failedUntil[nodePath{node, target}])
}

// markFailed records that a node has no path to a target.
func (p *paths) markFailed(now time.Time, node, target string) {
	if p.failed(now, node, target) {
		return
	}
	if len(p.failedUntil) >= maxFailedPaths {
		p.prune(now)
	}
	p.failedUntil[nodePath{node, target}] = now.Add(pathBackoff)
	if p.substitute[target].Name == node {
		delete(p.substitute, target)
	}
	p.logger.Info("node has no path to the target, skipping it temporarily", zap.String("home", node), zap.String("target", target), zap.Duration("for", pathBackoff))
}

// markSubstitute records that a node which is no home has a path to a target.
func (p *paths) markSubstitute(target string, node homes.Node) {
	if len(p.substitute) >= maxFailedPaths {
		clear(p.substitute)
	}
	p.substitute[target] = node
}

// prune drops failures that have expired.
func (p *paths) prune(now time.Time) {
	for path, until := range p.failedUntil {
		if !now.Before(until) {
			delete(p.failedUntil, path)
		}
	}
}
