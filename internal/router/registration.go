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
	nodeTTL  = 6 * time.Second
	nodeKeep = 2 * time.Second
)

// registration keeps this node's entry in the store. Its renewals also tell
// whether the store can be reached, without the price of a read.
type registration struct {
	self   view.Node
	store  topo.Store
	logger *zap.Logger
	// regained is called when the store answers again.
	regained func()

	lease topo.LeaseID
	// era is the store's era in which the entry was written.
	era  int64
	lost bool
}

// step registers the node or renews its registration.
func (r *registration) step(ctx context.Context) {
	err := r.keep(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil && !r.lost {
		r.logger.Warn("registration not renewed", zap.Error(err))
	}
	if err == nil && r.lost {
		r.logger.Info("registration renewed again")
		r.regained()
	}
	r.lost = err != nil
}

func (r *registration) keep(ctx context.Context) error {
	if r.lease != 0 {
		err := r.store.KeepLease(ctx, r.lease)
		// A restored store may have the lease without the entry, or an earlier one.
		restored := err == nil && r.store.Era() > r.era
		if !errors.Is(err, topo.ErrLeaseGone) && !restored {
			return err
		}
		r.lease = 0
	}
	lease, _, err := r.store.GrantLease(ctx, nodeTTL)
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

// end removes the registration.
func (r *registration) end() {
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), nodeKeep/2)
	defer cancel()
	// If it fails, the lease ends by itself.
	_ = r.store.EndLease(ctx, r.lease)
}
