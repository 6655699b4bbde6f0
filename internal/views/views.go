// Package views derives a node's state from gossip items: the table, and the leader of each group.
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

// groupPrefix is the key prefix of the items that hold group views.
const groupPrefix = "view/"

// Views holds the current state derived from the items. It is safe for concurrent use.
type Views struct {
	items  *gossip.Items
	logger *zap.Logger

	// refreshMutex is held from reading the items until the state is replaced, so that a slow
	// reader cannot replace newer state with older. It is locked before mutex.
	refreshMutex sync.Mutex

	mutex   sync.Mutex
	leaders map[string]*wire.GroupView
	current *table.Table
	// leadersChanged is closed and replaced whenever a group view changes.
	leadersChanged chan struct{}
}

// New returns views of a set of items. They are empty until the first call of Refresh.
func New(items *gossip.Items, logger *zap.Logger) *Views {
	return &Views{
		items:          items,
		logger:         logger,
		leaders:        make(map[string]*wire.GroupView),
		current:        &table.Table{},
		leadersChanged: make(chan struct{}),
	}
}

// versionBits is the number of low bits of an item's minor version that hold the membership
// version; the bits above hold the term.
const versionBits = 20

// GossipItemOf returns the gossip item for a group's view.
func GossipItemOf(view *wire.GroupView) (*wire.GossipItem, error) {
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

// Leader returns the latest view of a group, or nil, and a channel that is closed when any group
// view changes.
func (v *Views) Leader(group string) (*wire.GroupView, <-chan struct{}) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.leaders[group], v.leadersChanged
}

// Wait waits for the given duration or until changed, the channel returned by Leader, is closed. It
// reports whether the context is still active.
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

// Table returns the latest table. The caller must not modify it.
func (v *Views) Table() *table.Table {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.current
}

// Refresh processes updated items and reports whether the table changed.
func (v *Views) Refresh(updates []*wire.GossipItem) bool {
	v.refreshMutex.Lock()
	defer v.refreshMutex.Unlock()
	tableChanged := false
	leaderChanged := false
	for _, item := range updates {
		if len(item.GetKey()) > len(groupPrefix) && item.GetKey()[:len(groupPrefix)] == groupPrefix {
			leaderChanged = true
			continue
		}
		tableChanged = true
	}
	if tableChanged {
		v.setTable(v.BuildTable())
	}
	if leaderChanged {
		v.refreshLeaders()
	}
	return tableChanged
}

func (v *Views) setTable(latest *table.Table) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.current = latest
}

// BuildTable builds the table from the stored entries. It may be newer than Table, which changes
// only in Refresh. An entry that cannot be decoded, which only a foreign writer can have created,
// is left out and logged.
func (v *Views) BuildTable() *table.Table {
	latest := &table.Table{}
	for _, item := range v.items.WithPrefix(table.Prefix) {
		var change table.Change
		if err := json.Unmarshal(item.GetValue(), &change); err != nil {
			v.logger.Error("cannot decode table entry", zap.String("key", item.GetKey()), zap.Error(err))
			continue
		}
		switch {
		case change.Policy != nil && change.Policy.Validate() == nil:
			latest.Policies = append(latest.Policies, *change.Policy)
		case change.Row != nil && change.Row.Validate() == nil:
			latest.Rows = append(latest.Rows, *change.Row)
		default:
			v.logger.Error("invalid table entry ignored", zap.String("key", item.GetKey()))
		}
	}
	latest.Sort()
	return latest
}

func (v *Views) refreshLeaders() {
	leaders := make(map[string]*wire.GroupView)
	for _, item := range v.items.WithPrefix(groupPrefix) {
		view := &wire.GroupView{}
		if err := proto.Unmarshal(item.GetValue(), view); err != nil {
			v.logger.Error("cannot decode group view", zap.String("key", item.GetKey()), zap.Error(err))
			continue
		}
		leaders[view.GetGroup()] = view
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.leaders = leaders
	close(v.leadersChanged)
	v.leadersChanged = make(chan struct{})
}
