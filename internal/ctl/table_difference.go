package ctl

import (
	"context"
	"fmt"
	"net/http"
	"reflect"

	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/operator"
	"github.com/micahaven/micahaven/internal/table"
)

// difference is one entry of a file that the table does not hold like that.
type difference struct {
	row       *table.Row
	policy    *table.Policy
	oldRow    *table.Row
	oldPolicy *table.Policy
	revision  int64
}

// String shows the difference on one line.
func (d difference) String() string {
	switch {
	case d.policy != nil && d.oldPolicy == nil:
		return fmt.Sprintf("+ service %s %+v", d.policy.Service, *d.policy)
	case d.policy != nil:
		return fmt.Sprintf("~ service %s %+v -> %+v", d.policy.Service, *d.oldPolicy, *d.policy)
	case d.oldRow == nil:
		return fmt.Sprintf("+ row %s/%s %+v", d.row.Service, d.row.Site, *d.row)
	default:
		return fmt.Sprintf("~ row %s/%s %+v -> %+v", d.row.Service, d.row.Site, *d.oldRow, *d.row)
	}
}

// write makes the change if the entry is still as it was compared.
func (d difference) write(ctx context.Context, node *client) error {
	if d.policy != nil {
		_, err := node.change(ctx, http.MethodPut, "table/services/"+string(d.policy.Service), d.policy, d.revision)
		return err
	}
	_, err := node.change(ctx, http.MethodPut, rowPath(d.row), d.row, d.revision)
	return err
}

// compareWithFile returns the entries of a file that differ, services first.
func compareWithFile(ctx context.Context, node *client, path string) ([]difference, error) {
	var view operator.TableView
	if err := node.get(ctx, "table", &view); err != nil {
		return nil, err
	}
	wanted, err := readFile(path, tableOf(view))
	if err != nil {
		return nil, err
	}
	return compare(view, wanted), nil
}

func compare(view operator.TableView, wanted *table.Table) []difference {
	var differences []difference
	for i := range wanted.Policies {
		found := difference{policy: &wanted.Policies[i]}
		for _, entry := range view.Services {
			if entry.Policy.Service == found.policy.Service {
				found.oldPolicy = entry.Policy
				found.revision = entry.Revision
			}
		}
		if found.oldPolicy == nil || !reflect.DeepEqual(*found.oldPolicy, *found.policy) {
			differences = append(differences, found)
		}
	}
	for i := range wanted.Rows {
		found := difference{row: &wanted.Rows[i]}
		for _, entry := range view.Rows {
			if entry.Row.Service == found.row.Service && entry.Row.Site == found.row.Site {
				found.oldRow = entry.Row
				found.revision = entry.Revision
			}
		}
		if found.oldRow == nil || !reflect.DeepEqual(*found.oldRow, *found.row) {
			differences = append(differences, found)
		}
	}
	return differences
}

func serviceName(name string) identity.ServiceName { return identity.ServiceName(name) }
