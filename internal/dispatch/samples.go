package dispatch

import "github.com/micahaven/micahaven/internal/discovery"

// maxSampledKeys bounds the keys in a report. If there were more requests, each key stands
// for several of them.
const maxSampledKeys = 256

// samples collects the keys that were requested since the last report.
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
	// Samples are replaced in turn. The order of requests does not matter here.
	s.keys[s.count%maxSampledKeys] = key
}

// ServerReport sums up the requests to one server since the last report.
type ServerReport struct {
	Server     discovery.ServerID
	Attempts   uint32
	BusyMillis uint32
}

// Report is the load of a service that this node observed since its last report.
type Report struct {
	Keys []uint32
	// Weight is the number of requests that each key stands for.
	Weight  float64
	Servers []ServerReport
}

// TakeReport returns the load of a service since the last call.
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

// sample records a request for the retry budget, the estimate of first attempts and the
// load report.
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
