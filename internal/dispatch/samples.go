package dispatch

import "github.com/micahaven/micahaven/internal/discovery"

// maxSampledKeys bounds a report; beyond it each key stands for several requests.
const maxSampledKeys = 256

// samples collects the keys that were asked for since the last report.
type samples struct {
	keys  []uint32
	count int
}

func (s *samples) add(key uint32) {
	s.count++
	if len(s.keys) < maxSampledKeys {
		s.keys = append(s.keys, key)
		return
	}
	// Replace in turn: requests come in no order that matters here.
	s.keys[s.count%maxSampledKeys] = key
}

// ServerReport sums up one server's requests since the last report.
type ServerReport struct {
	Server     discovery.ServerID
	Attempts   uint32
	BusyMillis uint32
}

// Report is what a node saw of a service since its last report.
type Report struct {
	Keys []uint32
	// Weight is how many requests each key stands for.
	Weight  float64
	Servers []ServerReport
}

// TakeReport returns what was seen of a service since the last call.
func (d *Dispatcher) TakeReport(service string) Report {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	report := Report{Weight: 1}
	if seen := d.samples[service]; seen != nil && seen.count > 0 {
		report.Keys = seen.keys
		report.Weight = float64(seen.count) / float64(len(seen.keys))
		delete(d.samples, service)
	}
	for id, s := range d.pooled {
		if s.Service != service || s.attempts == 0 {
			continue
		}
		report.Servers = append(report.Servers, ServerReport{
			Server: id, Attempts: s.attempts, BusyMillis: uint32(s.busy.Milliseconds()),
		})
		s.attempts, s.busy = 0, 0
	}
	return report
}

func (d *Dispatcher) sample(request *Request) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.budget(request.Service).earn()
	d.firstTriesOf(request).Observe(request.callerDeadline().Sub(request.ArrivedAt))
	if !request.HasKey {
		return
	}
	seen := d.samples[request.Service]
	if seen == nil {
		seen = &samples{}
		d.samples[request.Service] = seen
	}
	seen.add(request.Key)
}
