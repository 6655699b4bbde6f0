package delta_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/micahaven/micahaven/internal/delta"
)

// document returns a JSON document like a configuration with the given number of routes.
func document(version, routes int, changed string) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, `{"Version":%d,"Resources":[`, version)
	for index := range routes {
		fmt.Fprintf(&text, `{"Name":"route-%d","Spec":{"Host":"h%d.example","Weight":%d}},`, index, index%7, index)
		if index == routes/2 {
			text.WriteString(changed)
		}
	}
	text.WriteString(`{}]}`)
	return []byte(text.String())
}

func TestSmallChangeOfLargeValueIsSmall(t *testing.T) {
	base := document(1, 2000, `{"Name":"x","Weight":1},`)
	next := document(2, 2000, `{"Name":"x","Weight":9},{"Name":"y"},`)
	made := delta.Make(base, next)
	const most = 300
	if len(made) > most {
		t.Fatalf("delta of %d bytes for a value of %d bytes, want at most %d", len(made), len(next), most)
	}
	got, err := delta.Apply(base, made)
	if err != nil || !bytes.Equal(got, next) {
		t.Fatalf("applied: equal %v, error %v", bytes.Equal(got, next), err)
	}
}

func TestApplyLeadsToTheValue(t *testing.T) {
	pieces := rapid.SampledFrom([]string{"}", "{", "a}", "bb}", "long piece without an end ", "0123456789}", "\x00\xff}"})
	value := rapid.Custom(func(t *rapid.T) []byte {
		return []byte(strings.Join(rapid.SliceOfN(pieces, 0, 200).Draw(t, "pieces"), ""))
	})
	rapid.Check(t, func(t *rapid.T) {
		base, next := value.Draw(t, "base"), value.Draw(t, "next")
		got, err := delta.Apply(base, delta.Make(base, next))
		if err != nil || !bytes.Equal(got, next) {
			t.Fatalf("from %q to %q: got %q, error %v", base, next, got, err)
		}
	})
}

func TestApplyRejectsAnotherBase(t *testing.T) {
	base, next := document(1, 50, ""), document(2, 50, "")
	made := delta.Make(base, next)
	for name, other := range map[string][]byte{"other": document(3, 50, "x"), "short": base[:10], "empty": nil} {
		if _, err := delta.Apply(other, made); !errors.Is(err, delta.ErrWrongBase) {
			t.Errorf("base %s: error %v, want ErrWrongBase", name, err)
		}
	}
}

func TestApplyRejectsDamage(t *testing.T) {
	base := document(1, 50, "")
	made := delta.Make(base, document(2, 50, "more"))
	for length := range made {
		if got, err := delta.Apply(base, made[:length]); err == nil {
			t.Fatalf("truncated to %d of %d bytes: got %q, want an error", length, len(made), got)
		}
	}
}

// Guards against a configuration with many new routes that is sent whole to every node.
func TestManyNewRoutesAreSentInAFractionOfTheirSize(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	route := func() string {
		return fmt.Sprintf(`{"kind":"routes","name":"r-%07x","settings":{"host":"h.example","path":"/%08x/","repeatable":true,"service":"s","timeout_millis":1500,"objective_millis":1000,"priority":2,"attempts":2}},`,
			random.Uint32(), random.Uint32())
	}
	base := `{"Version":1,"Resources":[` + strings.Repeat(route(), 10)
	next := base
	for range 1760 {
		next += route()
	}
	made := delta.Make([]byte(base), []byte(next))
	if most := len(next) / 4; len(made) > most {
		t.Errorf("delta of %d bytes for a value of %d bytes, want at most %d", len(made), len(next), most)
	}
	got, err := delta.Apply([]byte(base), made)
	if err != nil || string(got) != next {
		t.Errorf("applied: equal %v, error %v", string(got) == next, err)
	}
	for length := 0; length < len(made); length += 97 {
		if _, err := delta.Apply([]byte(base), made[:length]); err == nil {
			t.Fatalf("truncated to %d of %d bytes: no error", length, len(made))
		}
	}
}
