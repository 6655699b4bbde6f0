package etcdjson

// This file defines the messages of the etcd v3 JSON gateway as in its published API:
// bytes are encoded in base64, and 64-bit integers as strings.

// RangeRequest asks for the keys from Key up to, not including, RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// KeyValue is a key with its value and the revision of its last change.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
}

// Header is the header of a response. It carries the current revision of the store.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
}

// Compare is one condition of a transaction, here on the revision of a key.
type Compare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest sets the value of a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

// DeleteRequest deletes a key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// Operation is one write of a transaction; exactly one field is set.
type Operation struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest is a transaction. The operations in Success are applied if every condition in
// Compare holds.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []Operation `json:"success"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

// WatchCreate starts a watch at StartRevision on the keys from Key up to, not including,
// RangeEnd.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string"`
}

// WatchRequest is the body of a watch call.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchEvent is one change of a key. An empty Type means that the key was put.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResult is the content of one message of a watch stream. CompactRevision is positive
// if the start revision has been compacted.
type WatchResult struct {
	Header          Header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,string,omitempty"`
	Events          []WatchEvent `json:"events,omitempty"`
}

// WatchResponse is one message of a watch stream as the gateway encodes it.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// Enum values used in transactions and events.
const (
	CompareEqual    = "EQUAL"
	TargetMod       = "MOD"
	EventTypeDelete = "DELETE"
)

// URL paths of the gateway.
const (
	PathRange = "/v3/kv/range"
	PathTxn   = "/v3/kv/txn"
	PathWatch = "/v3/watch"
)

// PrefixEnd returns the RangeEnd that covers all keys with a prefix. Its result is a zero
// byte, which means no upper bound, if no byte of the prefix can be incremented.
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
