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

// manyRanges returns a map of the size that a large deployment has.
func manyRanges(count int) *Map {
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
	made := manyRanges(700)
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

// Seen on tintamezcla-gw-large: owners were numbered by their first range, so that a
// range with another owner changed the numbers of most others, deltas of maps were as
// long as the maps, and the links of the heads were full.
func TestMapWithAFewOtherOwnersDiffersLittle(t *testing.T) {
	const count, moves, plays = 1200, 6, 50
	before := manyRanges(count)
	before.numbers = numberOwners(nil, before.Ranges)
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
		next.numbers = numberOwners(before.numbers, next.Ranges)
		changed, err := next.Encode()
		if err != nil {
			t.Fatal(err)
		}
		total += len(delta.Make(encoded, changed))
		decoded, err := DecodeMap(changed)
		if err != nil || !reflect.DeepEqual(decoded.Ranges, next.Ranges) {
			t.Fatalf("the map is another one after it was stored: %v", err)
		}
		before, encoded = &next, changed
	}
	if mean := total / plays; mean > len(encoded)/10 {
		t.Errorf("%d bytes lead to the next map, which has %d", mean, len(encoded))
	}
}

// A map of the form before, whose servers have no numbers, can be read.
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

// A node of the form before would take numbers for positions, and so another server for
// the owner: it must find no ranges, and refuse the map.
func TestMapWithNumbersHasNoRangesForEarlierNodes(t *testing.T) {
	encoded, err := manyRanges(9).Encode()
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

// A map comes from the store, where anything may stand: it is refused with an error.
func TestDamagedMapsAreRefused(t *testing.T) {
	encoded, err := manyRanges(40).Encode()
	if err != nil {
		t.Fatal(err)
	}
	for length := range len(encoded) {
		if _, err := DecodeMap(encoded[:length]); err != nil && !errors.Is(err, ErrBadMap) {
			t.Fatalf("cut after %d bytes: %v, want ErrBadMap", length, err)
		}
	}
	for _, text := range []string{"", "\x22\x02\x08\x05", "\x22\x04\x08\xff\xff\xff", "\x0b", "\x22\x06\x08\xff\xff\x03\x10\x09"} {
		if _, err := DecodeMap([]byte(text)); !errors.Is(err, ErrBadMap) {
			t.Errorf("%q: %v, want ErrBadMap", text, err)
		}
	}
}

func FuzzDecodeMap(f *testing.F) {
	encoded, err := manyRanges(5).Encode()
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
			t.Error("a map that was taken does not cover the key space")
		}
	})
}

func BenchmarkDecodeMap(b *testing.B) {
	encoded, err := manyRanges(700).Encode()
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
