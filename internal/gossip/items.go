// Package gossip spreads small versioned values to every node: table entries
// and the leaders of groups. News is pushed to a few peers at once; a periodic
// comparison with one random peer repairs what pushes missed, also when the
// key-value service is down.
package gossip

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/micahaven/micahaven/internal/wire"
)

// Items holds the newest known version of every item. It is safe for concurrent
// use.
//
// Invariant: an item is replaced only by one of a greater version, so no node
// ever goes back to an older table entry or leader.
type Items struct {
	mutex sync.Mutex
	byKey map[string]*wire.GossipItem
	hash  uint64
}

// NewItems returns an empty set.
func NewItems() *Items {
	return &Items{byKey: make(map[string]*wire.GossipItem)}
}

// Merge takes in newer items and returns those that were news.
func (s *Items) Merge(items []*wire.GossipItem) []*wire.GossipItem {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var news []*wire.GossipItem
	for _, item := range items {
		known := s.byKey[item.GetKey()]
		if known != nil && CompareVersions(item, known) <= 0 {
			continue
		}
		if known != nil {
			s.hash ^= versionHash(known)
		}
		s.byKey[item.GetKey()] = item
		s.hash ^= versionHash(item)
		news = append(news, item)
	}
	return news
}

// Get returns an item, or nil. The caller must not change it.
func (s *Items) Get(key string) *wire.GossipItem {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.byKey[key]
}

// WithPrefix returns the items whose key has a prefix, in key order. Items
// without a value stand for deleted ones and are left out.
func (s *Items) WithPrefix(prefix string) []*wire.GossipItem {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []*wire.GossipItem
	for key, item := range s.byKey {
		if strings.HasPrefix(key, prefix) && len(item.GetValue()) > 0 {
			found = append(found, item)
		}
	}
	slices.SortFunc(found, func(a, b *wire.GossipItem) int { return cmp.Compare(a.GetKey(), b.GetKey()) })
	return found
}

// Hash returns a hash of all versions, equal on two nodes with equal items.
func (s *Items) Hash() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.hash
}

// Versions returns all items without their values.
func (s *Items) Versions() []*wire.GossipItem {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	versions := make([]*wire.GossipItem, 0, len(s.byKey))
	for _, item := range s.byKey {
		versions = append(versions, &wire.GossipItem{Key: item.GetKey(), Major: item.GetMajor(), Minor: item.GetMinor()})
	}
	return versions
}

// Newer returns the items that are newer here than in the given versions, and
// whether any is older here.
func (s *Items) Newer(versions []*wire.GossipItem) (newer []*wire.GossipItem, lacksSome bool) {
	theirs := make(map[string]*wire.GossipItem, len(versions))
	for _, version := range versions {
		theirs[version.GetKey()] = version
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, item := range s.byKey {
		other := theirs[key]
		if other == nil || CompareVersions(item, other) > 0 {
			newer = append(newer, item)
		}
	}
	for key, other := range theirs {
		known := s.byKey[key]
		if known == nil || CompareVersions(other, known) > 0 {
			lacksSome = true
		}
	}
	return newer, lacksSome
}

// CompareVersions is negative when a is older than b.
func CompareVersions(a, b *wire.GossipItem) int {
	return cmp.Or(cmp.Compare(a.GetMajor(), b.GetMajor()), cmp.Compare(a.GetMinor(), b.GetMinor()))
}

func versionHash(item *wire.GossipItem) uint64 {
	buffer := make([]byte, 0, len(item.GetKey())+2*8)
	buffer = append(buffer, item.GetKey()...)
	buffer = binary.LittleEndian.AppendUint64(buffer, item.GetMajor())
	buffer = binary.LittleEndian.AppendUint64(buffer, item.GetMinor())
	return xxhash.Sum64(buffer)
}
