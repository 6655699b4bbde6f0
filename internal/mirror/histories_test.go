package mirror_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/feed"
	"github.com/micahaven/micahaven/internal/mirror"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/topo/memory"
)

// follower is a mirror whose changes enter the log of a feed.
type follower struct {
	observer
	*mirror.Mirror
	feed *feed.Feed
}

func (f *follower) Changed(batch topo.Batch) { f.feed.Changed(0, batch) }

func newFollower(name string) *follower {
	started := &follower{Mirror: mirror.New(memory.New(), newRecorder(), zap.NewNop()), feed: feed.New(feed.Member{Name: name})}
	started.SetObserver(started)
	return started
}

// follow brings the changes in the log of another node that this one lacks.
func (f *follower) follow(upstream *follower) {
	messages, _ := upstream.feed.Step(0, "follower", feed.Message{Follow: &feed.Follow{Revision: f.Revision()}})
	for _, message := range messages {
		if message.Batch != nil {
			f.ApplyBatch(*message.Batch)
		}
	}
}

// contents returns the revision of each key.
func contents(items []topo.Item) map[string]int64 {
	revisions := make(map[string]int64, len(items))
	for _, item := range items {
		revisions[item.Key] = item.Revision
	}
	return revisions
}

// history makes random changes of a store and passes them between nodes.
type history struct {
	random    *rand.Rand
	store     *memory.Store
	followers []*follower
	// listLag is the most changes by which the pages of a list may be later than its revision.
	listLag int64
}

func newHistory(seed uint64, listLag int64) *history {
	const nodes = 4
	h := &history{random: rand.New(rand.NewPCG(seed, 0)), store: memory.New(), listLag: listLag}
	for index := range nodes {
		h.followers = append(h.followers, newFollower(fmt.Sprint(index)))
	}
	return h
}

// step makes a random change and returns the node that it concerns.
func (h *history) step() *follower {
	const keys = 6
	index, other := h.random.IntN(len(h.followers)), h.followers[h.random.IntN(len(h.followers))]
	node := h.followers[index]
	switch choice := h.random.IntN(20); {
	case choice < 3:
		h.store.Write(fmt.Sprint(h.random.IntN(keys)), []byte("value"))
	case choice < 6:
		h.store.Write(fmt.Sprint(h.random.IntN(keys)), nil)
	case choice < 9:
		h.watch(node)
	case choice < 13:
		node.follow(other)
	case choice < 17:
		if copied, complete := other.Export(); complete {
			node.Adopt(copied)
		}
	case choice < 18:
		items, revision, _ := h.store.List(context.Background(), "")
		node.ReplaceCopy(items, max(min(1, revision), revision-h.random.Int64N(h.listLag+1)))
	default:
		h.followers[index] = newFollower(fmt.Sprint(index))
	}
	return h.followers[index]
}

// watch applies the changes that the store has and the node lacks.
func (h *history) watch(node *follower) {
	after := node.Revision()
	events, revision, err := h.store.Watch(context.Background(), "", after, time.Nanosecond)
	if err == nil {
		node.ApplyBatch(topo.Batch{After: after, Revision: revision, Events: events})
	}
}

const (
	historySeeds = 300
	historySteps = 200
)

// Guards against keys that are lost, or kept after their deletion, as copies and changes pass between nodes.
func TestCopiesAreThoseOfTheStoreAtTheirRevision(t *testing.T) {
	for seed := range uint64(historySeeds) {
		h := newHistory(seed, 0)
		states := make(map[int64]map[string]int64)
		for step := range historySteps {
			changed := h.step()
			items, revision, _ := h.store.List(context.Background(), "")
			states[revision] = contents(items)
			copied, reached, complete := changed.Snapshot()
			if got := contents(copied); complete && !maps.Equal(got, states[reached]) {
				t.Fatalf("seed %d, step %d: the copy at %d is %v, want %v", seed, step, reached, got, states[reached])
			}
		}
	}
}

// Guards against lists, whose pages are later than their revision, that leave lasting differences.
func TestCopiesMadeFromListsBecomeThoseOfTheStore(t *testing.T) {
	const listLag = 3
	for seed := range uint64(historySeeds) {
		h := newHistory(seed, listLag)
		for range historySteps {
			h.step()
		}
		items, revision, _ := h.store.List(context.Background(), "")
		for _, node := range h.followers {
			h.watch(node)
			copied, reached, complete := node.Snapshot()
			if got, want := contents(copied), contents(items); complete && (reached != revision || !maps.Equal(got, want)) {
				t.Errorf("seed %d: the copy at %d is %v, want %v at %d", seed, reached, got, want, revision)
			}
		}
	}
}
