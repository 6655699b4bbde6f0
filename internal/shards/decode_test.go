package shards

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/micahaven/micahaven/internal/delta"
	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/wire"
)

// largeMap returns a map with the given number of ranges, like that of a large deployment.
func largeMap(count int) *Map {
	made := &Map{
		Service: "formulas", Epoch: 3, Author: Author{Node: "n1", Process: "p", Epoch: 3}, Resigned: true,
		Pending: []Author{{Node: "n2", Process: "q", Epoch: 2}, {Node: "n3", Process: "r", Epoch: 1}},
	}
	for index := range count {
		first, last := uint32(index*KeyCount/count), uint32((index+1)*KeyCount/count-1)
		entry := Range{First: first, Last: last, Fence: uint64(3<<32 + index)}
		if index%7 != 0 {
			entry.Owner, entry.Address = discovery.ServerID(fmt.Sprintf("i-%04x", index%480)), fmt.Sprint("10.2.3.4:", index%480)
		}
		if index%3 == 0 {
			entry.Handover, entry.Late = "5c0e7a21d94b36f8", true
		}
		made.Ranges = append(made.Ranges, entry)
	}
	return made
}

func TestMapIsTheSameAfterItWasStored(t *testing.T) {
	made := largeMap(700)
	encoded, err := made.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeMap(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(made, decoded) {
		t.Errorf("decoded %+v, want %+v", decoded.Ranges[:9], made.Ranges[:9])
	}
}

// Guards against large deltas between successive maps. When owners were numbered by their first
// range, one range with a new owner changed the numbers of most other owners; deltas were as
// long as the maps and saturated the links of the nodes that forward them.
func TestMapWithAFewOtherOwnersDiffersLittle(t *testing.T) {
	const count, moves, plays = 1200, 6, 50
	before := largeMap(count)
	before.ownerNumbers = assignOwnerNumbers(nil, before.Ranges)
	encoded, err := before.Encode()
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, 2))
	total := 0
	for range plays {
		next := *before
		next.Ranges = slices.Clone(before.Ranges)
		for range moves {
			moved, from := random.IntN(count), random.IntN(count)
			next.Ranges[moved].Owner, next.Ranges[moved].Address = before.Ranges[from].Owner, before.Ranges[from].Address
			next.Ranges[moved].Fence++
		}
		next.ownerNumbers = assignOwnerNumbers(before.ownerNumbers, next.Ranges)
		changed, err := next.Encode()
		if err != nil {
			t.Fatal(err)
		}
		total += len(delta.Make(encoded, changed))
		decoded, err := DecodeMap(changed)
		if err != nil || !reflect.DeepEqual(decoded.Ranges, next.Ranges) {
			t.Fatalf("the decoded map differs from the encoded one: %v", err)
		}
		before, encoded = &next, changed
	}
	if mean := total / plays; mean > len(encoded)/10 {
		t.Errorf("deltas have %d bytes on average and maps %d, want at most a tenth", mean, len(encoded))
	}
}

// Maps in the earlier format, in which servers have no numbers, can still be decoded.
func TestServersWithoutNumbersCountByPosition(t *testing.T) {
	stored := &wire.ShardMap{
		Service: "formulas",
		Servers: []*wire.ShardServer{{Id: "a", Address: "1"}, {Id: "b", Address: "2"}},
		Ranges:  []*wire.ShardRange{{Last: 9, Owner: 2}, {Last: LastKey, Owner: 1}},
	}
	encoded, err := proto.Marshal(stored)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeMap(encoded)
	if err != nil || decoded.Find(3).Owner != "b" || decoded.Find(LastKey).Owner != "a" {
		t.Errorf("decoded %+v, %v", decoded, err)
	}
}

// A node that only supports the earlier format would take the numbers for positions, and so take a
// different server for the owner. It must find no ranges and reject the map.
func TestMapWithNumbersHasNoRangesForEarlierNodes(t *testing.T) {
	encoded, err := largeMap(9).Encode()
	if err != nil {
		t.Fatal(err)
	}
	stored := &wire.ShardMap{}
	if err := proto.Unmarshal(encoded, stored); err != nil {
		t.Fatal(err)
	}
	if len(stored.GetRanges()) != 0 || len(stored.GetNumberedRanges()) != 9 {
		t.Errorf("%d ranges by position, %d by number, want 0 and 9", len(stored.GetRanges()), len(stored.GetNumberedRanges()))
	}
}

// A stored map may contain arbitrary bytes; an invalid one is rejected with an error.
func TestDamagedMapsAreRefused(t *testing.T) {
	encoded, err := largeMap(40).Encode()
	if err != nil {
		t.Fatal(err)
	}
	for length := range len(encoded) {
		if _, err := DecodeMap(encoded[:length]); err != nil && !errors.Is(err, ErrBadMap) {
			t.Fatalf("truncated to %d bytes: %v, want ErrBadMap", length, err)
		}
	}
	for _, text := range []string{"", "\x22\x02\x08\x05", "\x22\x04\x08\xff\xff\xff", "\x0b", "\x22\x06\x08\xff\xff\x03\x10\x09"} {
		if _, err := DecodeMap([]byte(text)); !errors.Is(err, ErrBadMap) {
			t.Errorf("%q: %v, want ErrBadMap", text, err)
		}
	}
}

func FuzzDecodeMap(f *testing.F) {
	encoded, err := largeMap(5).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, text []byte) {
		decoded, err := DecodeMap(text)
		if err != nil {
			return
		}
		if decoded.Find(0) == nil || decoded.Find(LastKey) == nil {
			t.Error("a decoded map does not cover the key space")
		}
	})
}

func BenchmarkDecodeMap(b *testing.B) {
	encoded, err := largeMap(700).Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeMap(encoded); err != nil {
			b.Fatal(err)
		}
	}
}
