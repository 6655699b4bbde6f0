package router

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/micahaven/micahaven/internal/feed"
	"github.com/micahaven/micahaven/internal/mirror"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/internal/wire"
)

// recordInterval is the interval between two checks of whether the heads have changed. They are
// written only if two checks agree, because they change many times while nodes start.
const recordInterval = time.Second

// headsRecord keeps a record of the heads in the store, so that a starting node finds them with
// one call.
type headsRecord struct {
	store  topo.Store
	feed   *changeFeed
	mirror *mirror.Mirror
	// nodes returns the number of registered nodes.
	nodes  func() int
	logger *zap.Logger

	seen, written []feed.Member
	// era is the store's era in which the record was written.
	era int64
}

// read returns the latest record, or an empty one if there is none or it cannot be decoded.
func (r *headsRecord) read(ctx context.Context) (*wire.HeadsRecord, error) {
	items, _, err := r.store.List(ctx, view.HeadsKey)
	if err != nil {
		return nil, errors.Wrap(err, "read heads")
	}
	for _, item := range items {
		if item.Key != view.HeadsKey {
			continue
		}
		record := &wire.HeadsRecord{}
		if err := proto.Unmarshal(item.Value, record); err != nil {
			// The root writes it again; until then starting nodes list the store.
			r.logger.Warn("decoding the record of the heads failed", zap.Int64("revision", item.Revision), zap.Error(err))
			return &wire.HeadsRecord{}, nil
		}
		return record, nil
	}
	return &wire.HeadsRecord{}, nil
}

// step writes the heads if this node is the root and they have changed.
func (r *headsRecord) step(ctx context.Context) {
	heads := r.feed.headMembers()
	settled := slices.Equal(heads, r.seen)
	r.seen = heads
	if !r.feed.root() {
		// Another root may write a different record.
		r.written = nil
		return
	}
	if !settled || slices.Equal(heads, r.written) && r.era == r.store.Era() {
		return
	}
	record := &wire.HeadsRecord{Keys: uint32(r.mirror.Size()), Nodes: uint32(r.nodes())}
	for _, head := range heads {
		record.Heads = append(record.Heads, &wire.NodeAddress{Address: head.Address, Zone: head.Zone})
	}
	value, err := proto.Marshal(record)
	if err != nil {
		r.logger.Error("encoding the record of the heads failed", zap.Error(err))
		return
	}
	revision, err := r.store.Commit(ctx, topo.Transaction{Puts: []topo.Put{{Key: view.HeadsKey, Value: value}}})
	if err != nil {
		r.logger.Info("writing the record of the heads failed", zap.Error(err))
		return
	}
	r.written, r.era = heads, topo.EraOf(revision)
	r.logger.Info("record of the heads written", zap.Int("heads", len(heads)))
}
