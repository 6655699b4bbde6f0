// Package views turns gossip items into what a node works with: the table, and
// who leads each group.
package views

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/micahaven/micahaven/internal/gossip"
	"github.com/micahaven/micahaven/internal/table"
	"github.com/micahaven/micahaven/internal/wire"
)

// groupPrefix is the prefix of the items that name leaders.
const groupPrefix = "view/"

// Views follows the items. It is safe for concurrent use.
type Views struct {
	items  *gossip.Items
	logger *zap.Logger

	// refresh is held from reading the items until the views are replaced, so
	// that a slow reader cannot put an older view in place of a newer one. It is
	// taken before mutex.
	refresh sync.Mutex

	mutex   sync.Mutex
	leaders map[string]*wire.GroupView
	current *table.Table
	// changed is closed and replaced whenever a leader changes.
	changed chan struct{}
}

// New returns views of a set of items.
func New(items *gossip.Items, logger *zap.Logger) *Views {
	return &Views{
		items:   items,
		logger:  logger,
		leaders: make(map[string]*wire.GroupView),
		current: &table.Table{},
		changed: make(chan struct{}),
	}
}

// versionBits is the part of an item's minor version that counts memberships.
const versionBits = 20

// ItemOf returns the item that spreads a group's view.
func ItemOf(view *wire.GroupView) (*wire.GossipItem, error) {
	value, err := proto.Marshal(view)
	if err != nil {
		return nil, err
	}
	version := view.GetMembership().GetVersion() & (1<<versionBits - 1)
	return &wire.GossipItem{
		Key:   groupPrefix + view.GetGroup(),
		Major: view.GetGeneration(),
		Minor: view.GetTerm()<<versionBits | version,
		Value: value,
	}, nil
}

// Leader returns the latest view of a group, or nil, and a channel that is
// closed when any view changes.
func (v *Views) Leader(group string) (*wire.GroupView, <-chan struct{}) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.leaders[group], v.changed
}

// Wait pauses, or less when a view changes, and reports whether there is time
// left. The channel is the one that Leader returned.
func Wait(ctx context.Context, pause time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return ctx.Err() == nil
}

// Table returns the latest table. The caller must not change it.
func (v *Views) Table() *table.Table {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.current
}

// Refresh takes in news and reports whether the table changed.
func (v *Views) Refresh(news []*wire.GossipItem) bool {
	v.refresh.Lock()
	defer v.refresh.Unlock()
	tableChanged := false
	leaderChanged := false
	for _, item := range news {
		if len(item.GetKey()) > len(groupPrefix) && item.GetKey()[:len(groupPrefix)] == groupPrefix {
			leaderChanged = true
			continue
		}
		tableChanged = true
	}
	if tableChanged {
		v.setTable(v.LatestTable())
	}
	if leaderChanged {
		v.readLeaders()
	}
	return tableChanged
}

func (v *Views) setTable(latest *table.Table) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.current = latest
}

// LatestTable builds the table from the stored entries. It may be newer than
// Table, which changes when the views are told of the news. An entry that cannot
// be read, which only a foreign writer can have caused, is left out and logged.
func (v *Views) LatestTable() *table.Table {
	latest := &table.Table{}
	for _, item := range v.items.WithPrefix(table.Prefix) {
		var change table.Change
		if err := json.Unmarshal(item.GetValue(), &change); err != nil {
			v.logger.Error("table entry cannot be read", zap.String("key", item.GetKey()), zap.Error(err))
			continue
		}
		switch {
		case change.Policy != nil && change.Policy.Validate() == nil:
			latest.Policies = append(latest.Policies, *change.Policy)
		case change.Row != nil && change.Row.Validate() == nil:
			latest.Rows = append(latest.Rows, *change.Row)
		default:
			v.logger.Error("table entry is not valid", zap.String("key", item.GetKey()))
		}
	}
	latest.Sort()
	return latest
}

func (v *Views) readLeaders() {
	leaders := make(map[string]*wire.GroupView)
	for _, item := range v.items.WithPrefix(groupPrefix) {
		view := &wire.GroupView{}
		if err := proto.Unmarshal(item.GetValue(), view); err != nil {
			v.logger.Error("group view cannot be read", zap.String("key", item.GetKey()), zap.Error(err))
			continue
		}
		leaders[view.GetGroup()] = view
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.leaders = leaders
	close(v.changed)
	v.changed = make(chan struct{})
}
