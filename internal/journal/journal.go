// Package journal remembers the requests that may not be repeated: that each
// has begun, and how it ended. It is a part of a group's replicated state, so
// every change comes from a committed log entry, and it is pure.
//
// Invariant: an idempotency key has at most one record, and the record was
// committed before its request was sent to a server. So a leader that finds no
// record knows that the request never ran under this key, within retention.
package journal

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/micahaven/micahaven/internal/wire"
)

// Journal holds the records by idempotency key. It is not safe for concurrent
// use.
type Journal struct {
	records map[string]*wire.JournalRecord
	// order holds the records by the index at which they began, oldest first;
	// withdrawn ones stay until they are trimmed.
	order []*wire.JournalRecord
	bytes int
}

// New returns an empty journal.
func New() *Journal {
	return &Journal{records: make(map[string]*wire.JournalRecord)}
}

// Lookup returns the record of a key, or nil. The caller must not change it.
func (j *Journal) Lookup(key string) *wire.JournalRecord {
	return j.records[key]
}

// Len returns the number of records, and Bytes the size of the stored answers.
func (j *Journal) Len() int { return len(j.records) }

// Bytes returns the total size of the stored answers in bytes.
func (j *Journal) Bytes() int { return j.bytes }

// OldestIndex returns the log index of the oldest record, or 0.
func (j *Journal) OldestIndex() uint64 {
	if len(j.order) == 0 {
		return 0
	}
	return j.order[0].GetBegunIndex()
}

// Begin records a request. A key that is already known keeps its first record.
func (j *Journal) Begin(term, index uint64, begin *wire.JournalBegin) {
	if j.records[begin.GetIdempotencyKey()] != nil {
		return
	}
	record := &wire.JournalRecord{
		IdempotencyKey: begin.GetIdempotencyKey(),
		BodyHash:       begin.GetBodyHash(),
		Slice:          begin.GetSlice(),
		BegunIndex:     index,
		BegunTerm:      term,
	}
	j.records[record.GetIdempotencyKey()] = record
	j.order = append(j.order, record)
}

// Finish records the end of a request, or frees the key of one that certainly
// did not run.
func (j *Journal) Finish(finish *wire.JournalFinish) {
	record := j.records[finish.GetIdempotencyKey()]
	if record == nil || record.GetFinished() {
		return
	}
	if finish.GetWithdrawn() {
		delete(j.records, record.GetIdempotencyKey())
		return
	}
	record.Finished = true
	record.Response = finish.GetResponse()
	j.bytes += responseSize(record)
}

// Import takes in records of an earlier generation. Those that had not finished
// stay unfinished, which a leader answers as unknown.
func (j *Journal) Import(index uint64, records []*wire.JournalRecord) {
	for _, record := range records {
		if j.records[record.GetIdempotencyKey()] != nil {
			continue
		}
		imported := proto.CloneOf(record)
		imported.BegunIndex = index
		j.records[imported.GetIdempotencyKey()] = imported
		j.order = append(j.order, imported)
		j.bytes += responseSize(imported)
	}
}

// Trim forgets the records that began at or before an index.
func (j *Journal) Trim(upTo uint64) {
	kept := 0
	for kept < len(j.order) && j.order[kept].GetBegunIndex() <= upTo {
		record := j.order[kept]
		if j.records[record.GetIdempotencyKey()] == record {
			delete(j.records, record.GetIdempotencyKey())
			j.bytes -= responseSize(record)
		}
		kept++
	}
	j.order = slices.Delete(j.order, 0, kept)
}

// Snapshot returns a deep copy of the records, oldest first.
func (j *Journal) Snapshot() []*wire.JournalRecord {
	copied := make([]*wire.JournalRecord, 0, len(j.records))
	for _, record := range j.order {
		if j.records[record.GetIdempotencyKey()] == record {
			copied = append(copied, proto.CloneOf(record))
		}
	}
	return copied
}

// Restore replaces all records by copies of the given ones.
func (j *Journal) Restore(records []*wire.JournalRecord) {
	j.records = make(map[string]*wire.JournalRecord, len(records))
	j.order = nil
	j.bytes = 0
	for _, record := range records {
		record = proto.CloneOf(record)
		j.records[record.GetIdempotencyKey()] = record
		j.order = append(j.order, record)
		j.bytes += responseSize(record)
	}
}

func responseSize(record *wire.JournalRecord) int {
	return len(record.GetResponse().GetBody())
}
