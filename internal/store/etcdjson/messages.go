package etcdjson

// The messages of the etcd v3 JSON gateway, as its published API defines them:
// bytes are base64, 64-bit numbers are strings.

// RangeRequest asks for the keys from Key up to, not including, RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// KeyValue is one key.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
}

// Header carries the revision of the store.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
}

// Compare is one condition of a transaction.
type Compare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

// DeleteRequest deletes a key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// Operation is one step of a transaction; exactly one field is set.
type Operation struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest is a transaction: Success runs if every Compare holds.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []Operation `json:"success"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

// WatchCreate opens a watch.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string"`
}

// WatchRequest is the body of a watch call.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchEvent is one change. An absent type means that a key was put.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResult is one message of a watch stream.
type WatchResult struct {
	Header          Header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,string,omitempty"`
	Events          []WatchEvent `json:"events,omitempty"`
}

// WatchResponse wraps a WatchResult as the gateway streams it.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// Names used in transactions and events.
const (
	CompareEqual    = "EQUAL"
	TargetMod       = "MOD"
	EventTypeDelete = "DELETE"
)

// Paths of the gateway.
const (
	PathRange = "/v3/kv/range"
	PathTxn   = "/v3/kv/txn"
	PathWatch = "/v3/watch"
)

// PrefixEnd returns the range end that covers all keys with a prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
