package quota

import (
	"sync"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/tenants"
)

// Keeper keeps the accounts of the tenants whose home this node is. It is safe for
// concurrent use.
type Keeper struct {
	clock clock.Clock

	mutex    sync.Mutex
	accounts map[string]*Account
}

// NewKeeper returns a keeper of no accounts.
func NewKeeper() *Keeper {
	return &Keeper{clock: clock.Boot, accounts: make(map[string]*Account)}
}

// Own sets whose home this node is. An account that another node kept in the meantime
// begins anew, because what it granted is not known here.
func (k *Keeper) Own(limits map[string]tenants.Limit, tolerance Tolerance) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.clock()
	for name := range k.accounts {
		if _, owned := limits[name]; !owned {
			delete(k.accounts, name)
		}
	}
	for name, limit := range limits {
		if account := k.accounts[name]; account != nil {
			account.SetLimit(now, limit, tolerance)
			continue
		}
		k.accounts[name] = NewAccount(now, limit, tolerance)
	}
}

// Take takes a node's report of a tenant in; false if this node is not the tenant's home,
// as far as it knows.
func (k *Keeper) Take(tenant, node string, report Report) (Grant, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	account := k.accounts[tenant]
	if account == nil {
		return Grant{}, false
	}
	return account.Take(k.clock(), node, report), true
}
