package router

import (
	"context"
	"sync"

	"github.com/micahaven/micahaven/internal/shardmanager"
)

// managers runs a manager for each sharded service of the configuration.
type managers struct {
	config shardmanager.Config

	mutex   sync.Mutex
	running map[string]*runningManager
	stopped bool
	group   sync.WaitGroup
}

type runningManager struct {
	*shardmanager.Manager
	cancel context.CancelFunc
}

func newManagers(config shardmanager.Config) *managers {
	return &managers{config: config, running: make(map[string]*runningManager)}
}

// reconcile starts managers for new sharded services and stops those of services that were
// removed or are no longer sharded.
func (m *managers) reconcile(ctx context.Context) {
	table := m.config.Views.Current().Table
	if table == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.stopped {
		return
	}
	for name, service := range table.Services() {
		if service.ShardedByKey && m.running[name] == nil {
			m.start(ctx, name)
		}
	}
	for name, running := range m.running {
		if service, known := table.Service(name); !known || !service.ShardedByKey {
			running.cancel()
			delete(m.running, name)
		}
	}
}

func (m *managers) start(ctx context.Context, service string) {
	bounded, cancel := context.WithCancel(ctx)
	manager := shardmanager.New(m.config, service)
	m.running[service] = &runningManager{Manager: manager, cancel: cancel}
	m.group.Go(func() { _ = manager.Run(bounded) })
}

func (m *managers) recordLoad(service string, keys []uint32, weight float64, servers []shardmanager.ServerLoad) {
	m.mutex.Lock()
	running := m.running[service]
	m.mutex.Unlock()
	if running != nil {
		running.RecordLoad(keys, weight, servers)
	}
}

// stop makes all managers release their locks and starts no more managers.
func (m *managers) stop() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stopped = true
	for _, running := range m.running {
		running.cancel()
	}
}

// wait returns when all managers have ended.
func (m *managers) wait() { m.group.Wait() }
