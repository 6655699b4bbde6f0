package router

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/view"
)

const (
	// registrationTTL is the TTL of the lease of a node's entry, which is renewed at every
	// renewInterval.
	registrationTTL = 6 * time.Second
	renewInterval   = 2 * time.Second
)

// registration maintains this node's entry in the store. Its renewals also show whether the
// store is reachable, without the cost of a read.
type registration struct {
	self   view.Node
	store  topo.Store
	logger *zap.Logger
	// onStoreRecovered is called when the store answers after an outage.
	onStoreRecovered func()

	lease topo.LeaseID
	// era is the store's era in which the entry was written.
	era     int64
	failing bool
}

// step registers the node or renews its registration.
func (r *registration) step(ctx context.Context) {
	err := r.renew(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil && !r.failing {
		r.logger.Warn("renewing the registration failed", zap.Error(err))
	}
	if err == nil && r.failing {
		r.logger.Info("registration renewed after failures")
		r.onStoreRecovered()
	}
	r.failing = err != nil
}

func (r *registration) renew(ctx context.Context) error {
	if r.lease != 0 {
		err := r.store.KeepLease(ctx, r.lease)
		// A restored store may have the lease without the entry, or with an earlier one.
		restored := err == nil && r.store.Era() > r.era
		if !errors.Is(err, topo.ErrLeaseEnded) && !restored {
			return err
		}
		r.lease = 0
	}
	lease, _, err := r.store.GrantLease(ctx, registrationTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(r.self)
	if err != nil {
		return errors.Wrap(err, "encode node entry")
	}
	revision, err := r.store.Commit(ctx, topo.Transaction{
		Puts: []topo.Put{{Key: view.NodeKey(r.self.Name), Value: value, Lease: lease}},
	})
	if err == nil {
		r.lease, r.era = lease, topo.EraOf(revision)
	}
	return err
}

// remove removes the registration.
func (r *registration) remove() {
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), renewInterval/2)
	defer cancel()
	// If this fails, the lease expires.
	_ = r.store.EndLease(ctx, r.lease)
}
