// Package platform is the stand-in for the platform's services: a key-value
// service behind the published etcd v3 JSON gateway, and the list of machines.
// Everything is in memory, and faults can be switched on over HTTP.
package platform

import (
	"bytes"
	"context"
	"slices"
	"sync"

	"github.com/micahaven/micahaven/internal/store/etcdjson"
)

// keyValue is a revisioned map with history for watches. It is safe for
// concurrent use.
type keyValue struct {
	mutex    sync.Mutex
	revision int64
	pairs    map[string]etcdjson.KeyValue
	history  []etcdjson.WatchEvent
	// compacted is the newest revision that history no longer holds.
	compacted int64
	changed   chan struct{}
}

// historyLimit is the number of events kept for watches.
const historyLimit = 10000

func newKeyValue() *keyValue {
	return &keyValue{pairs: make(map[string]etcdjson.KeyValue), changed: make(chan struct{})}
}

func isInRange(key string, request etcdjson.RangeRequest) bool {
	if len(request.RangeEnd) == 0 {
		return key == string(request.Key)
	}
	isBeforeEnd := bytes.Equal(request.RangeEnd, []byte{0}) || key < string(request.RangeEnd)
	return key >= string(request.Key) && isBeforeEnd
}

func (kv *keyValue) list(request etcdjson.RangeRequest) etcdjson.RangeResponse {
	kv.mutex.Lock()
	defer kv.mutex.Unlock()
	response := etcdjson.RangeResponse{Header: etcdjson.Header{Revision: kv.revision}}
	for key, pair := range kv.pairs {
		if isInRange(key, request) {
			response.Kvs = append(response.Kvs, pair)
		}
	}
	slices.SortFunc(response.Kvs, func(a, b etcdjson.KeyValue) int { return bytes.Compare(a.Key, b.Key) })
	return response
}

func (kv *keyValue) transact(request etcdjson.TxnRequest) etcdjson.TxnResponse {
	kv.mutex.Lock()
	defer kv.mutex.Unlock()
	for _, compare := range request.Compare {
		if kv.pairs[string(compare.Key)].ModRevision != compare.ModRevision {
			return etcdjson.TxnResponse{Header: etcdjson.Header{Revision: kv.revision}}
		}
	}
	kv.revision++
	for _, operation := range request.Success {
		kv.apply(operation)
	}
	if extra := len(kv.history) - historyLimit; extra > 0 {
		kv.compacted = kv.history[extra-1].Kv.ModRevision
		kv.history = slices.Delete(kv.history, 0, extra)
	}
	close(kv.changed)
	kv.changed = make(chan struct{})
	return etcdjson.TxnResponse{Header: etcdjson.Header{Revision: kv.revision}, Succeeded: true}
}

func (kv *keyValue) apply(operation etcdjson.Operation) {
	if put := operation.Put; put != nil {
		pair := etcdjson.KeyValue{Key: put.Key, Value: put.Value, ModRevision: kv.revision}
		kv.pairs[string(put.Key)] = pair
		kv.history = append(kv.history, etcdjson.WatchEvent{Kv: pair})
		return
	}
	key := operation.Delete.Key
	delete(kv.pairs, string(key))
	kv.history = append(kv.history, etcdjson.WatchEvent{
		Type: etcdjson.EventTypeDelete,
		Kv:   etcdjson.KeyValue{Key: key, ModRevision: kv.revision},
	})
}

// compact forgets all history, so that watches from older revisions fail.
func (kv *keyValue) compact() {
	kv.mutex.Lock()
	defer kv.mutex.Unlock()
	kv.compacted = kv.revision
	kv.history = nil
}

// since waits for events from a revision on and returns them, or the revision
// that was compacted past it.
func (kv *keyValue) since(ctx context.Context, create etcdjson.WatchCreate) (events []etcdjson.WatchEvent, revision, compacted int64) {
	request := etcdjson.RangeRequest{Key: create.Key, RangeEnd: create.RangeEnd}
	for {
		kv.mutex.Lock()
		changed := kv.changed
		revision = kv.revision
		if create.StartRevision <= kv.compacted {
			compacted = kv.compacted
		}
		for _, event := range kv.history {
			if event.Kv.ModRevision >= create.StartRevision && isInRange(string(event.Kv.Key), request) {
				events = append(events, event)
			}
		}
		kv.mutex.Unlock()
		if compacted > 0 || len(events) > 0 {
			return events, revision, compacted
		}
		select {
		case <-ctx.Done():
			return nil, revision, 0
		case <-changed:
		}
	}
}
