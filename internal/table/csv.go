package table

import (
	"encoding/csv"
	"io"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/gocarina/gocsv"
)

// ParseCSV reads rows, one a line under a line of field names, and checks them
// together with the given policies. Unknown and missing columns are refused.
func ParseCSV(text []byte, policies []Policy) (*Table, error) {
	if err := checkColumns(text); err != nil {
		return nil, err
	}
	parsed := &Table{Policies: policies}
	if err := gocsv.UnmarshalBytes(text, &parsed.Rows); err != nil {
		return nil, errors.Wrapf(ErrInvalid, "rows: %v", err)
	}
	if err := parsed.Validate(); err != nil {
		return nil, err
	}
	parsed.Sort()
	return parsed, nil
}

// FormatCSV writes the rows so that ParseCSV reads the same ones.
func (t *Table) FormatCSV() ([]byte, error) {
	return gocsv.MarshalBytes(&t.Rows)
}

func checkColumns(text []byte) error {
	header, err := csv.NewReader(strings.NewReader(string(text))).Read()
	if errors.Is(err, io.EOF) {
		return errors.Wrap(ErrInvalid, "rows: the file is empty, allowed: a line of field names first")
	}
	if err != nil {
		return errors.Wrapf(ErrInvalid, "rows: %v", err)
	}
	known := columns()
	for _, column := range header {
		if !slices.Contains(known, column) {
			return errors.Wrapf(ErrInvalid, "column %q, allowed: %s", column, strings.Join(known, ", "))
		}
	}
	for _, column := range known {
		if !slices.Contains(header, column) {
			return errors.Wrapf(ErrInvalid, "column %q is missing", column)
		}
	}
	return nil
}

func columns() []string {
	var names []string
	row := reflect.TypeFor[Row]()
	for i := range row.NumField() {
		names = append(names, row.Field(i).Tag.Get("csv"))
	}
	return names
}
