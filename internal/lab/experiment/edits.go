package experiment

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/lab/cluster"
	"github.com/micahaven/micahaven/internal/table"
)

// editor plays the operators and remembers which changes were accepted.
type editor struct {
	system     *cluster.Cluster
	deployment *Deployment

	mutex    sync.Mutex
	accepted map[string]acceptedRow
	inForce  []time.Duration
	// unsettled counts changes of which it is not known whether they took
	// effect.
	unsettled int
}

// acceptedRow is the newest accepted content of a row.
type acceptedRow struct {
	row      table.Row
	revision int64
}

func newEditor(system *cluster.Cluster, deployment *Deployment) *editor {
	return &editor{system: system, deployment: deployment, accepted: make(map[string]acceptedRow)}
}

const raceRounds = 5

// race lets two operators change the same row through two nodes at the same
// time, several times over.
func (e *editor) race(ctx context.Context, service string) error {
	for round := range raceRounds {
		var operators sync.WaitGroup
		for operator := range 2 {
			operators.Go(func() {
				weight := 1 + float64(2*round+operator)/100
				// A refused change is what the race is about.
				_ = e.change(ctx, nodeName(operator), service, "old", func(row *table.Row) { row.Weight = weight })
			})
		}
		operators.Wait()
	}
	return nil
}

// moveSite takes the weight of the old site away and gives it back.
func (e *editor) moveSite(ctx context.Context, service string) error {
	if err := e.change(ctx, nodeName(0), service, "old", func(row *table.Row) { row.Weight = 0 }); err != nil {
		return err
	}
	pause(ctx, time.Second)
	return e.change(ctx, nodeName(1), service, "old", func(row *table.Row) { row.Weight = 1 })
}

// change reads a row through a node, changes it and writes it back.
func (e *editor) change(ctx context.Context, node, service, site string, edit func(*table.Row)) error {
	row, revision, err := e.system.Row(node, service, site)
	if err != nil {
		return err
	}
	edit(&row)
	revision, err = e.system.PutRow(node, row, revision)
	var status *cluster.StatusError
	isRefused := errors.As(err, &status) && status.Code == http.StatusConflict
	if err != nil && !isRefused {
		e.noteUnsettled()
	}
	if err != nil {
		return err
	}
	e.noteAccepted(ctx, row, revision)
	return nil
}

func (e *editor) noteUnsettled() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.unsettled++
}

// noteAccepted remembers an accepted change and waits until every node that
// answers has it.
func (e *editor) noteAccepted(ctx context.Context, row table.Row, revision int64) {
	accepted := time.Now()
	e.mutex.Lock()
	key := table.RowKey(row.Service, row.Site)
	if e.accepted[key].revision < revision {
		e.accepted[key] = acceptedRow{row: row, revision: revision}
	}
	e.mutex.Unlock()
	for ctx.Err() == nil && !e.isInForce(row, revision) && time.Since(accepted) < inForceLimit {
		pause(ctx, inForcePause)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.inForce = append(e.inForce, time.Since(accepted))
}

const (
	inForceLimit = 10 * time.Second
	inForcePause = 5 * time.Millisecond
)

func (e *editor) isInForce(row table.Row, revision int64) bool {
	for n := range e.deployment.Nodes {
		_, known, err := e.system.Row(nodeName(n), string(row.Service), row.Site)
		if err == nil && known < revision {
			return false
		}
	}
	return true
}

// check looks for rows that went back behind an accepted revision on any node.
func (e *editor) check() []Violation {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var violations []Violation
	for _, accepted := range e.accepted {
		for n := range e.deployment.Nodes {
			row, revision, err := e.system.Row(nodeName(n), string(accepted.row.Service), accepted.row.Site)
			if err != nil || revision < accepted.revision {
				violations = append(violations, Violation{
					Promise: PromiseNoRevert,
					What:    fmt.Sprintf("node %s has %+v at revision %d, accepted was revision %d (%v)", nodeName(n), row, revision, accepted.revision, err),
				})
			}
		}
	}
	return violations
}
