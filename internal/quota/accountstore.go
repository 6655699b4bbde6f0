package quota

import (
	"sync"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/tenants"
)

// AccountStore holds the accounts of the limits for which this node is the home node. It is
// safe for concurrent use.
type AccountStore struct {
	clock clock.Clock

	mutex    sync.Mutex
	accounts map[string]*Account
}

// NewAccountStore returns an empty account store.
func NewAccountStore() *AccountStore {
	return &AccountStore{clock: clock.Boot, accounts: make(map[string]*Account)}
}

// SetLimits replaces the set of limits for which this node is the home node. If another node
// has been the home node of a limit in the meantime, its account starts anew, because what that
// node granted is unknown here.
func (s *AccountStore) SetLimits(limits map[string]tenants.Limit, tolerance Tolerance) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	for name := range s.accounts {
		if _, kept := limits[name]; !kept {
			delete(s.accounts, name)
		}
	}
	for name, limit := range limits {
		if account := s.accounts[name]; account != nil {
			account.SetLimit(now, limit, tolerance)
			continue
		}
		s.accounts[name] = NewAccount(now, limit, tolerance)
	}
}

// HandleReport processes a node's report on a limit. It returns false if this node is not the
// limit's home node according to its own view.
func (s *AccountStore) HandleReport(name, node string, report Report) (Grant, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	account := s.accounts[name]
	if account == nil {
		return Grant{}, false
	}
	return account.HandleReport(s.clock(), node, report), true
}
