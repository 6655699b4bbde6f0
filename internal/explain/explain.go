// Package explain reconstructs what happened to a request or a key from the log lines of router
// nodes. Lines that are truncated or not JSON are skipped and counted.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLine is the longest log line that is read, in bytes.
const maxLine = 1 << 20

// Names of fields in log lines.
const (
	fieldTime    = "ts"
	fieldMessage = "msg"
	fieldNode    = "node"
	fieldRequest = "request"
	fieldServer  = "server"
	fieldService = "service"
	fieldFirst   = "first"
	fieldLast    = "last"
	fieldError   = "error"
)

// messageFailed is the message of the line about a request that was not answered.
const messageFailed = "request failed"

// Line is one log line.
type Line struct {
	At      time.Time
	Node    string
	Message string
	Fields  map[string]any
}

// Log holds the lines of all nodes, ordered by time.
type Log struct {
	lines []Line
	// Skipped counts input lines that could not be parsed as log lines.
	Skipped int
}

// Read adds the lines of a reader. Anything before the first brace of a line, such as the prefix
// of a log collector, is ignored.
func (l *Log) Read(reader io.Reader) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			l.Skipped++
			continue
		}
		l.lines = append(l.lines, line)
	}
	sort.SliceStable(l.lines, func(i, j int) bool { return l.lines[i].At.Before(l.lines[j].At) })
	return errors.Wrap(scanner.Err(), "read log")
}

func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := make(map[string]any)
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, textOf(fields, fieldTime))
	if err != nil {
		return Line{}, false
	}
	return Line{At: at, Node: textOf(fields, fieldNode), Message: textOf(fields, fieldMessage), Fields: fields}, true
}

func textOf(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	return text
}

// Request writes the log lines of a request, each preceded by the latest lines that show on which
// state its node decided: lines of the node about itself or the request's server, and lines of any
// node about the service, such as its manager. It reports whether the request was found.
func (l *Log) Request(writer io.Writer, id string) (bool, error) {
	found := false
	for index, line := range l.lines {
		if textOf(line.Fields, fieldRequest) != id {
			continue
		}
		found = true
		for _, entry := range l.lastKnown(index) {
			if err := write(writer, "believed", entry); err != nil {
				return found, err
			}
		}
		if err := write(writer, "request ", line); err != nil {
			return found, err
		}
	}
	return found, nil
}

// lastKnown returns, for the line at an index, the latest earlier line with each message that
// shows on which state its node decided.
func (l *Log) lastKnown(index int) []Line {
	line := l.lines[index]
	server := textOf(line.Fields, fieldServer)
	service := textOf(line.Fields, fieldService)
	latest := make(map[string]Line)
	for _, earlier := range l.lines[:index] {
		if earlier.Fields[fieldRequest] != nil {
			continue
		}
		aboutServer := server != "" && textOf(earlier.Fields, fieldServer) == server
		aboutService := service != "" && textOf(earlier.Fields, fieldService) == service && textOf(earlier.Fields, fieldServer) == ""
		aboutNode := earlier.Node == line.Node && earlier.Fields[fieldServer] == nil && earlier.Fields[fieldService] == nil
		if (aboutServer && earlier.Node == line.Node) || aboutService || aboutNode {
			latest[earlier.Message] = earlier
		}
	}
	var lastKnown []Line
	for _, entry := range latest {
		lastKnown = append(lastKnown, entry)
	}
	sort.Slice(lastKnown, func(i, j int) bool { return lastKnown[i].At.Before(lastKnown[j].At) })
	return lastKnown
}

// Key writes the lines about ranges that contain a key, which show its owners over time. It
// reports whether there were any.
func (l *Log) Key(writer io.Writer, key uint32) (bool, error) {
	found := false
	for _, line := range l.lines {
		first, hasFirst := line.Fields[fieldFirst].(float64)
		last, hasLast := line.Fields[fieldLast].(float64)
		if !hasFirst || !hasLast || float64(key) < first || float64(key) > last {
			continue
		}
		found = true
		if err := write(writer, "key     ", line); err != nil {
			return found, err
		}
	}
	return found, nil
}

func write(writer io.Writer, label string, line Line) error {
	var names []string
	for name := range line.Fields {
		switch name {
		case fieldTime, fieldMessage, fieldNode, "level", "errorVerbose":
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, line.Fields[name]))
	}
	_, err := fmt.Fprintf(writer, "%s %s %s: %s %s\n",
		line.At.Format(timeOfDay), label, line.Node, line.Message, strings.Join(parts, " "))
	return errors.Wrap(err, "write explanation")
}
