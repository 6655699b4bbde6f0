package table

import (
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/examples"
)

func parse(t *testing.T, text []byte) *Table {
	t.Helper()
	parsed, err := ParseYAML(text)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func TestImportReadsWhatExportWrote(t *testing.T) {
	for _, text := range [][]byte{examples.Tintamezcla, examples.Umurage} {
		first := parse(t, text)
		first.Rows[0].Leaving = NameList{"a-1", "a-2"}
		exported, err := first.FormatYAML()
		if err != nil {
			t.Fatal(err)
		}
		if second := parse(t, exported); !reflect.DeepEqual(first, second) {
			t.Errorf("YAML: got %+v, want %+v", second, first)
		}
		cells, err := first.FormatCSV()
		if err != nil {
			t.Fatal(err)
		}
		third, err := ParseCSV(cells, first.Policies)
		if err != nil || !reflect.DeepEqual(first.Rows, third.Rows) {
			t.Errorf("CSV: got %+v, %v, want %+v", third, err, first)
		}
	}
}

// TestInvalidTables checks that errors name the field, the value and what is
// allowed.
func TestInvalidTables(t *testing.T) {
	valid := string(examples.Tintamezcla)
	change := func(old, changed string) string { return strings.Replace(valid, old, changed, 1) }
	cases := map[string]struct {
		text string
		want []string
	}{
		"weight":          {change("weight: 1", "weight: -1"), []string{"formula/old", "weight", "-1", "at least 0"}},
		"connections":     {change("connection_limit: 100", "connection_limit: 9"), []string{"connection_limit", "9", "at least 12"}},
		"slots":           {change("slots: 2", "slots: 0"), []string{"slots", "0", "at least 1"}},
		"site name":       {change("site: old", "site: Old Site"), []string{"site", "Old Site", "a-z"}},
		"unknown field":   {change("slots: 2", "slots: 2, speed: 1"), []string{"speed"}},
		"unknown service": {change("{service: formula", "{service: formulas"), []string{"service", "formulas"}},
		"twice":           {change("site: new", "site: old"), []string{"formula/old", "twice"}},
		"priority":        {change("priority: interactive", "priority: high"), []string{"priority", "high", "interactive background"}},
		"slices":          {change("slices: 128", "slices: 0"), []string{"slices", "0", "at least 1"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseYAML([]byte(test.text))
			checkInvalid(t, err, test.want)
		})
	}
}

func TestInvalidCSV(t *testing.T) {
	current := parse(t, examples.Tintamezcla)
	cells, err := current.FormatCSV()
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		text string
		want []string
	}{
		"unknown column": {strings.Replace(string(cells), "weight", "wieght", 1), []string{"wieght", "weight"}},
		"missing column": {"service,site\n", []string{"weight", "missing"}},
		"not a number":   {strings.Replace(string(cells), ",1,", ",heavy,", 1), []string{"heavy"}},
		"empty":          {"", []string{"empty"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseCSV([]byte(test.text), current.Policies)
			checkInvalid(t, err, test.want)
		})
	}
}

func checkInvalid(t *testing.T, err error, want []string) {
	t.Helper()
	if !errors.Is(err, ErrInvalid) {
		t.Fatalf("got %v, want ErrInvalid", err)
	}
	for _, part := range want {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("error %q does not name %q", err, part)
		}
	}
}

func FuzzParseYAML(f *testing.F) {
	f.Add(string(examples.Tintamezcla))
	f.Add("rows: [{}]")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := ParseYAML([]byte(text))
		if (parsed == nil) != errors.Is(err, ErrInvalid) {
			t.Errorf("table %v with error %v", parsed, err)
		}
	})
}
