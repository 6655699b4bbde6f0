package simulation

import "time"

// scheduleFailure lets something fail after a random pause, again and again.
func (w *world) scheduleFailure() {
	mean := w.options.Faults.EventInterval
	pause := time.Duration(w.random.ExpFloat64() * float64(mean))
	w.after(pause, func() {
		w.fail()
		w.scheduleFailure()
	})
}

// fail picks one failure and its victim.
func (w *world) fail() {
	w.result.Failures++
	length := time.Duration(w.random.Int64N(int64(w.options.Faults.OutageLimit)))
	const kinds = 6
	switch w.random.IntN(kinds) {
	case 0:
		w.freeze(&w.nodes[w.random.IntN(len(w.nodes))].process, length)
	case 1:
		w.freeze(&w.servers[w.random.IntN(len(w.servers))].process, length)
	case 2:
		w.restartNode(w.nodes[w.random.IntN(len(w.nodes))])
	case 3:
		w.restartServer(w.servers[w.random.IntN(len(w.servers))])
	case 4:
		w.cut(length)
	case 5:
		w.isolate(&w.nodes[w.random.IntN(len(w.nodes))].process, length)
	}
}

func (w *world) freeze(p *process, length time.Duration) {
	p.frozenUntil = max(p.frozenUntil, w.now+length)
}

// restartNode loses a node's memory. A frozen one is left alone: a process that
// does not run cannot restart itself. The run keeps to losses that a group
// tolerates, one member at a time, since recovery is not part of this world.
func (w *world) restartNode(n *node) {
	if w.now < n.frozenUntil || !w.isWhole() {
		return
	}
	n.restart()
}

// isWhole reports whether the group's latest membership is complete and alive,
// with the lives of its members unchanged since it was committed.
func (w *world) isWhole() bool {
	for _, n := range w.nodes {
		if !n.manager.IsLeading() || !n.replica.HasAuthority(n.clock(w.now)) {
			continue
		}
		return w.outsider(n.replica.Membership()) == nil && n.replica.IsSettled()
	}
	return false
}

func (w *world) restartServer(s *server) {
	if w.now < s.frozenUntil {
		return
	}
	s.restart()
}

// cut closes one direction between two random processes.
func (w *world) cut(length time.Duration) {
	names := w.names()
	from := names[w.random.IntN(len(names))]
	to := names[w.random.IntN(len(names))]
	w.cuts[link{from, to}] = max(w.cuts[link{from, to}], w.now+length)
}

// isolate closes both directions between one process and all others.
func (w *world) isolate(p *process, length time.Duration) {
	for _, name := range w.names() {
		for _, direction := range []link{{p.name, name}, {name, p.name}} {
			w.cuts[direction] = max(w.cuts[direction], w.now+length)
		}
	}
}

func (w *world) names() []string {
	var names []string
	for _, n := range w.nodes {
		names = append(names, n.name)
	}
	for _, s := range w.servers {
		names = append(names, s.name)
	}
	return names
}
