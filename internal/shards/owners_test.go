package shards

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/discovery"
)

// requireSameRanges checks that the decoded owners match the ranges of the map.
func requireSameRanges(t *testing.T, whole *Map, seen *Owners) {
	t.Helper()
	if seen.Len() != len(whole.Ranges) || seen.Epoch != whole.Epoch || seen.Author != whole.Author || seen.Resigned != whole.Resigned {
		t.Fatalf("%d ranges of epoch %d by %v, want %d of %d by %v", seen.Len(), seen.Epoch, seen.Author, len(whole.Ranges), whole.Epoch, whole.Author)
	}
	for index, r := range whole.Ranges {
		want := OwnedRange{First: r.First, Last: r.Last, Owner: r.Owner, Fence: r.Fence, HandedOver: r.Handover != ""}
		if got := seen.At(index); got != want {
			t.Errorf("range %d is %+v, want %+v", index, got, want)
		}
		for _, key := range []uint32{r.First, (r.First + r.Last) / 2, r.Last} {
			if got := seen.Find(key); got != want {
				t.Errorf("key %d is in %+v, want %+v", key, got, want)
			}
		}
	}
}

func TestNodesSeeTheOwnersOfAMap(t *testing.T) {
	whole := &Map{
		Service: "s", Epoch: 7, Author: Author{Node: "n", Process: "p", Epoch: 7}, Resigned: true,
		Pending: []Author{{Node: "m", Process: "q", Epoch: 3}},
		Ranges: []Range{
			{First: 0, Last: 9, Owner: "a", Address: "x", Fence: 4, Handover: "h"},
			{First: 10, Last: 10, Fence: 5},
			{First: 11, Last: LastKey, Owner: "b", Address: "y", Fence: 1 << 40, Late: true, Inherited: true},
		},
	}
	encoded, err := whole.Encode()
	if err != nil {
		t.Fatal(err)
	}
	seen, err := DecodeOwners(encoded, nil)
	if err != nil {
		t.Fatal(err)
	}
	requireSameRanges(t, whole, seen)
	if len(seen.Pending) != 1 || seen.Pending[0] != whole.Pending[0] {
		t.Errorf("pending %v, want %v", seen.Pending, whole.Pending)
	}
	// A later map with other owners is decoded with the earlier one as its predecessor.
	whole.Ranges[0].Owner, whole.Ranges[2].Owner = "b", "c"
	if encoded, err = whole.Encode(); err != nil {
		t.Fatal(err)
	}
	later, err := DecodeOwners(encoded, seen)
	if err != nil {
		t.Fatal(err)
	}
	requireSameRanges(t, whole, later)
	if seen.Find(0).Owner != discovery.ServerID("a") {
		t.Error("the earlier map has changed")
	}
}

// DecodeOwners must reject the same maps as DecodeMap, and decode the others to the same
// ranges.
func FuzzDecodeOwners(f *testing.F) {
	encoded, err := (&Map{Epoch: 1, Ranges: []Range{{Last: 9, Owner: "a"}, {First: 10, Last: LastKey, Owner: "b", Fence: 3}}}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add(encoded[:len(encoded)-3])
	f.Add([]byte{0x52, 0x02, 0x08, 0x01})
	f.Fuzz(func(t *testing.T, text []byte) {
		whole, wholeErr := DecodeMap(text)
		seen, err := DecodeOwners(text, nil)
		if (wholeErr == nil) != (err == nil) {
			t.Fatalf("DecodeMap: %v, DecodeOwners: %v", wholeErr, err)
		}
		if err != nil {
			if !errors.Is(err, ErrBadMap) {
				t.Fatalf("unexpected error %v", err)
			}
			return
		}
		requireSameRanges(t, whole, seen)
	})
}
