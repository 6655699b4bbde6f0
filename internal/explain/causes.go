package explain

import (
	"fmt"
	"io"
	"regexp"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// Cause is why requests of a service were not answered, about one server.
type Cause struct {
	Service string
	// Reason is the error without what differs from request to request.
	Reason string
	// Server is the one that the error names, or else the last one that was asked;
	// empty if there was none.
	Server string
	Count  int
	// First and Last are when it was seen.
	First, Last time.Time
	// WorstSecond is the second with the most of these requests, WorstCount their
	// number.
	WorstSecond time.Time
	WorstCount  int
}

var (
	// addressPattern finds addresses of connections, with or without the other end.
	addressPattern = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+(->\d+\.\d+\.\d+\.\d+:\d+)?`)
	// serverPattern finds ids of servers in errors.
	serverPattern = regexp.MustCompile(`\b(owner|from|server) (\S*\d\S*)`)
	numberPattern = regexp.MustCompile(`\b\d+(\.\d+)?\b`)
)

// causeKey is what the failures of one cause have in common.
type causeKey struct{ service, reason, server string }

// Causes sums up the requests that were not answered, the most frequent cause
// first.
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

// WriteCauses writes the most frequent causes, a line each, and what the others
// sum up to. It reports whether there were any.
func (l *Log) WriteCauses(writer io.Writer, most int) (bool, error) {
	causes := l.Causes()
	others := 0
	for index, cause := range causes {
		if index >= most {
			others += cause.Count
			continue
		}
		_, err := fmt.Fprintf(writer, "%6d %s %s: %s (%s to %s, most %d in the second of %s)\n",
			cause.Count, cause.Service, orNone(cause.Server), cause.Reason,
			cause.First.Format(timeOfDay), cause.Last.Format(timeOfDay), cause.WorstCount, cause.WorstSecond.Format(time.TimeOnly))
		if err != nil {
			return true, errors.Wrap(err, "write causes")
		}
	}
	if others > 0 {
		if _, err := fmt.Fprintf(writer, "%6d of %d further causes\n", others, len(causes)-most); err != nil {
			return true, errors.Wrap(err, "write causes")
		}
	}
	return len(causes) > 0, nil
}

// timeOfDay is how moments are written.
const timeOfDay = "15:04:05.000"

func orNone(server string) string {
	if server == "" {
		return "no server"
	}
	return server
}
