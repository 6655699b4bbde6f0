package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/micahaven/micahaven/internal/rendezvous"
)

func namesOf(count int) []string {
	var names []string
	for index := range count {
		names = append(names, fmt.Sprintf("node-%d", index))
	}
	return names
}

// All names must be chosen about equally often, even if they differ only in their last characters.
func TestChoiceIsSpread(t *testing.T) {
	const keys, count = 2000, 2
	names := namesOf(20)
	chosen := make(map[string]int)
	for key := range keys {
		for _, name := range rendezvous.Highest(fmt.Sprintf("server-%d", key), names, count) {
			chosen[name]++
		}
	}
	for _, name := range names {
		if mean := keys * count / len(names); chosen[name] < mean*3/4 || chosen[name] > mean*5/4 {
			t.Errorf("%s is chosen %d times, the mean is %d", name, chosen[name], mean)
		}
	}
}

func TestNameThatGoesChangesFewChoices(t *testing.T) {
	names := namesOf(10)
	changed := 0
	const keys = 1000
	for key := range keys {
		text := fmt.Sprint(key)
		before := rendezvous.Highest(text, names, 1)
		after := rendezvous.Highest(text, names[1:], 1)
		if !slices.Equal(before, after) {
			changed++
			if before[0] != names[0] {
				t.Fatalf("key %d went from %s to %s, though neither left", key, before[0], after[0])
			}
		}
	}
	if changed > keys/5 {
		t.Errorf("%d of %d choices changed", changed, keys)
	}
}

func TestFewerNamesThanWanted(t *testing.T) {
	if got := rendezvous.Highest("k", []string{"a"}, 3); !slices.Equal(got, []string{"a"}) {
		t.Errorf("%v, want the one there is", got)
	}
}
