package shardmanager

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/shards"
)

// This file executes the commands of the core and logs what they decide.

// execute starts all commands of the core; connectedBy is the time by which the connections that carry
// its grants must have been open. The caller holds the mutex, so that no order starts after stopOrders.
func (t *term) execute(ctx context.Context, commands shards.Commands, connectedBy time.Duration) {
	if len(commands.Moving) > 0 {
		t.manager.config.Notices.Moving(t.manager.service, t.epoch, commands.Moving)
	}
	for _, r := range commands.Restored {
		t.manager.logger.Info("range restored to its owner", zap.String("server", string(r.Owner)), zap.Uint32("first", r.First),
			zap.Uint32("last", r.Last), zap.Uint64("fence", r.Fence), zap.Duration("store_unseen", t.sinceRenewal()))
	}
	t.logVacancies(commands.Vacated)
	t.logVerification(commands.Verified)
	for _, release := range commands.Releases {
		t.inFlight.Go(func() { t.release(ctx, release) })
	}
	for _, check := range commands.Checks {
		// Nothing relies on the outcome of a check, so the end of the term does not wait for it.
		go t.check(ctx, check)
	}
	t.logReachChanges(commands.ReachChanges)
	t.withholdingLogged = t.withholdingLogged && connectedBy < t.manager.config.Clock()
	for _, grant := range commands.Grants {
		grant.ConnectedBy = connectedBy
		t.inFlight.Go(func() { t.grant(grant) })
	}
	if commands.Commit != nil {
		t.inFlight.Go(func() { t.commit(ctx, commands.Commit.Map) })
	}
}

// logVerification logs that the map of a restored store has become authoritative.
func (t *term) logVerification(verified *shards.Verification) {
	if verified == nil {
		return
	}
	t.manager.logger.Info("owner map verified", zap.Uint64("epoch", t.epoch), zap.Stringer("evidence", verified.Evidence),
		zap.Int("servers", verified.Servers), zap.Duration("since_lock", t.now()))
}

// logVacancies logs the evidence on which ranges have lost their owners.
func (t *term) logVacancies(vacated []shards.Vacancy) {
	for _, vacancy := range vacated {
		vacanciesTotal.WithLabelValues(t.manager.service, vacancy.Evidence.String()).Inc()
		fields := []zap.Field{
			zap.String("server", string(vacancy.Owner)), zap.Uint32("first", vacancy.First), zap.Uint32("last", vacancy.Last),
			zap.Uint64("fence", vacancy.Fence), zap.Stringer("evidence", vacancy.Evidence), zap.Bool("late", vacancy.Late),
			zap.Bool("inherited", vacancy.Inherited),
		}
		if vacancy.LastAccepted > 0 {
			fields = append(fields, zap.Duration("since_accepted", t.now()-vacancy.LastAccepted))
		}
		t.manager.logger.Info("range vacated", fields...)
	}
}

// logReachChanges logs which servers are given keys, or no longer, and why.
func (t *term) logReachChanges(changes []shards.ReachChange) {
	for _, change := range changes {
		reached := strconv.FormatBool(change.Confirmed)
		reachChangesTotal.WithLabelValues(t.manager.service, reached).Inc()
		message := "server unreached, given no keys"
		if change.Confirmed {
			message = "server answered, may be given keys"
		}
		t.manager.logger.Info(message, zap.String("server", string(change.Server)), zap.Stringer("outcome", change.Outcome),
			zap.Duration("unreached", change.Since))
	}
}

// check asks a server for an answer.
func (t *term) check(ctx context.Context, check shards.Release) {
	bounded, cancel := context.WithTimeout(ctx, t.manager.config.Options.CallTimeout)
	defer cancel()
	outcome := t.manager.config.Orders.Check(bounded, check)
	ordersTotal.WithLabelValues(t.manager.service, "check", outcome.String()).Inc()
	t.mutex.Lock()
	t.core.CheckDone(t.now(), shards.ReleaseResult{Release: check, Outcome: outcome})
	t.mutex.Unlock()
}

// delayedGrantsWait returns how long grants that got no response may still be carried out by
// servers.
func (t *term) delayedGrantsWait() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.DelayedGrantsUntil() - t.now()
}

func (t *term) grant(grant shards.Grant) {
	bounded, cancel := context.WithTimeout(t.ordersCtx, t.manager.config.Options.CallTimeout)
	defer cancel()
	outcome := t.manager.config.Orders.Grant(bounded, grant)
	ordersTotal.WithLabelValues(t.manager.service, "grant", outcome.String()).Inc()
	if outcome == shards.Withheld {
		t.logWithheld(grant)
	} else if outcome != shards.Accepted {
		t.manager.logger.Info("grant failed", zap.String("server", string(grant.Owner)), zap.Uint32("first", grant.First),
			zap.Uint32("last", grant.Last), zap.Uint64("fence", grant.Fence), zap.Stringer("outcome", outcome))
	}
	t.mutex.Lock()
	// The machine may have been suspended before the grant was sent, so the time of the result is the
	// latest at which that can have happened.
	t.core.GrantDone(t.now(), shards.GrantResult{Grant: grant, SentAt: t.now(), Outcome: outcome})
	// The fences of a term are greater than those of all earlier terms. While the store is
	// unavailable, a refusal by a server is how a manager learns of a newer term.
	isSuperseded := outcome == shards.Superseded && t.storeFailed && shards.EpochOf(grant.Fence) == t.epoch
	t.contact.observe(t.now(), grant.Owner, outcome)
	lost := t.contact.lost(t.now()) && !t.resigning
	t.mutex.Unlock()
	if lost && t.manager.othersRegistered() {
		t.manager.logger.Warn("manager reaches no server, stepping down", zap.Uint64("epoch", t.epoch))
		t.stepDown()
	}
	if isSuperseded {
		t.manager.logger.Warn("manager superseded, reported by a server", zap.Uint64("epoch", t.epoch), zap.String("server", string(grant.Owner)))
		t.endTerm()
	}
}

// logWithheld logs the first grant that is withheld since the lock was last certain.
func (t *term) logWithheld(grant shards.Grant) {
	t.mutex.Lock()
	logged := t.withholdingLogged
	t.withholdingLogged = true
	sinceRenewal := t.sinceRenewal()
	t.mutex.Unlock()
	if !logged {
		t.manager.logger.Info("lock in doubt, grants on later connections withheld", zap.Uint64("epoch", t.epoch),
			zap.String("server", string(grant.Owner)), zap.Uint64("fence", grant.Fence), zap.Duration("since_renewal", sinceRenewal))
	}
}

func (t *term) release(ctx context.Context, release shards.Release) {
	bounded, cancel := context.WithTimeout(t.ordersCtx, releaseTimeout)
	defer cancel()
	startedAt := time.Now()
	outcome, handover := t.manager.config.Orders.Release(bounded, release)
	ordersTotal.WithLabelValues(t.manager.service, "release", outcome.String()).Inc()
	t.manager.logger.Info("release", zap.String("server", string(release.Owner)), zap.Uint32("first", release.First),
		zap.Uint32("last", release.Last), zap.Uint64("fence", release.Fence), zap.Stringer("outcome", outcome),
		zap.Bool("handover", handover != ""), zap.Duration("took", time.Since(startedAt)),
		zap.Stringer("reason", release.Move.Reason), zap.Float64("load", release.Move.Load))
	if outcome == shards.Accepted {
		movesTotal.WithLabelValues(t.manager.service, release.Move.Reason.String()).Inc()
	}
	t.mutex.Lock()
	t.core.ReleaseDone(shards.ReleaseResult{Release: release, Outcome: outcome, Handover: handover})
	t.mutex.Unlock()
	if outcome == shards.Accepted {
		t.step(ctx)
	}
}
