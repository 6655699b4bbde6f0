package explain

import (
	"fmt"
	"io"
	"regexp"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// Cause is a reason why requests of a service failed, for one server.
type Cause struct {
	Service string
	// Reason is the error with addresses, servers and numbers replaced by placeholders.
	Reason string
	// Server is the one that the error names, or else the last one that the request was sent
	// to; empty if there was none.
	Server string
	Count  int
	// First and Last are the times of the first and the last failure.
	First, Last time.Time
	// WorstSecond is the second with the most of these failures, WorstCount their number.
	WorstSecond time.Time
	WorstCount  int
}

var (
	// addressPattern matches the address of a connection, with or without the remote one.
	addressPattern = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+(->\d+\.\d+\.\d+\.\d+:\d+)?`)
	// serverPattern matches the ID of a server in an error.
	serverPattern = regexp.MustCompile(`\b(owner|from|server) (\S*\d\S*)`)
	numberPattern = regexp.MustCompile(`\b\d+(\.\d+)?\b`)
)

// causeKey identifies a cause.
type causeKey struct{ service, reason, server string }

// Causes groups the failed requests by cause, the most frequent cause first.
func (l *Log) Causes() []Cause {
	seconds := make(map[causeKey]map[time.Time]int)
	found := make(map[causeKey]*Cause)
	for _, line := range l.lines {
		if line.Message != messageFailed {
			continue
		}
		key := causeOf(line)
		cause := found[key]
		if cause == nil {
			cause = &Cause{Service: key.service, Reason: key.reason, Server: key.server, First: line.At}
			found[key] = cause
			seconds[key] = make(map[time.Time]int)
		}
		cause.Count++
		cause.Last = line.At
		second := line.At.Truncate(time.Second)
		seconds[key][second]++
		if seconds[key][second] > cause.WorstCount {
			cause.WorstSecond, cause.WorstCount = second, seconds[key][second]
		}
	}
	causes := make([]Cause, 0, len(found))
	for _, cause := range found {
		causes = append(causes, *cause)
	}
	sort.Slice(causes, func(i, j int) bool {
		a, b := causes[i], causes[j]
		if a.Count != b.Count {
			return a.Count > b.Count
		}
		return a.Service+a.Reason+a.Server < b.Service+b.Reason+b.Server
	})
	return causes
}

func causeOf(line Line) causeKey {
	reason := textOf(line.Fields, fieldError)
	server := textOf(line.Fields, fieldServer)
	if named := serverPattern.FindStringSubmatch(reason); named != nil {
		server = named[2]
	}
	reason = addressPattern.ReplaceAllString(reason, "ADDRESS")
	reason = serverPattern.ReplaceAllString(reason, "$1 SERVER")
	reason = numberPattern.ReplaceAllString(reason, "N")
	return causeKey{textOf(line.Fields, fieldService), reason, server}
}

// WriteCauses writes up to limit of the most frequent causes, a line each, and the total of the
// others. It reports whether there were any.
func (l *Log) WriteCauses(writer io.Writer, limit int) (bool, error) {
	causes := l.Causes()
	others := 0
	for index, cause := range causes {
		if index >= limit {
			others += cause.Count
			continue
		}
		_, err := fmt.Fprintf(writer, "%6d %s %s: %s (%s to %s, most %d in the second of %s)\n",
			cause.Count, cause.Service, serverOrNone(cause.Server), cause.Reason,
			cause.First.Format(timeOfDay), cause.Last.Format(timeOfDay), cause.WorstCount, cause.WorstSecond.Format(time.TimeOnly))
		if err != nil {
			return true, errors.Wrap(err, "write causes")
		}
	}
	if others > 0 {
		if _, err := fmt.Fprintf(writer, "%6d of %d further causes\n", others, len(causes)-limit); err != nil {
			return true, errors.Wrap(err, "write causes")
		}
	}
	return len(causes) > 0, nil
}

// timeOfDay is the format of times in the output.
const timeOfDay = "15:04:05.000"

func serverOrNone(server string) string {
	if server == "" {
		return "no server"
	}
	return server
}
