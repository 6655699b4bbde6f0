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

// recordInterval is the pause between two looks at whether the heads have changed;
// they must be the same twice before they are written, because many changes come
// together when nodes start.
const recordInterval = time.Second

// headsRecord keeps in the store which nodes are the heads, so that a node that starts
// finds them with one call.
type headsRecord struct {
	store  topo.Store
	feed   *changeFeed
	mirror *mirror.Mirror
	// nodes returns how many nodes are registered.
	nodes  func() int
	logger *zap.Logger

	seen, written []feed.Member
	// era is the store's era in which the record was written.
	era int64
}

// read returns the record that was written last; an empty one if there is none.
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
			// The root writes it again; until then the store is listed.
			r.logger.Warn("record of the heads refused", zap.Int64("revision", item.Revision), zap.Error(err))
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
		// Another root may write others.
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
		r.logger.Error("record of the heads not encoded", zap.Error(err))
		return
	}
	revision, err := r.store.Commit(ctx, topo.Transaction{Puts: []topo.Put{{Key: view.HeadsKey, Value: value}}})
	if err != nil {
		r.logger.Info("record of the heads not written", zap.Error(err))
		return
	}
	r.written, r.era = heads, topo.EraOf(revision)
	r.logger.Info("record of the heads written", zap.Int("heads", len(heads)))
}
