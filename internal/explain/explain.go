// Package explain tells the story of a request or a key from the log lines of
// router nodes. Lines of nodes that are missing, cut short or not JSON are passed
// over and counted.
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

// Log holds lines of all nodes in order of time.
type Log struct {
	lines []Line
	// Skipped counts lines that are no log lines.
	Skipped int
}

// Read adds the lines of a reader. Anything before the first brace of a line, such
// as a prefix of whatever collected it, is passed over.
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

// Request writes what happened to a request, preceded by what its node had last
// learned of its configuration, its server and its service's manager. It reports
// whether the request was found.
func (l *Log) Request(writer io.Writer, id string) (bool, error) {
	found := false
	for index, line := range l.lines {
		if textOf(line.Fields, fieldRequest) != id {
			continue
		}
		found = true
		for _, belief := range l.beliefs(index) {
			if err := write(writer, "believed", belief); err != nil {
				return found, err
			}
		}
		if err := write(writer, "request ", line); err != nil {
			return found, err
		}
	}
	return found, nil
}

// beliefs returns the last lines before one by which its node came to believe
// what decided it.
func (l *Log) beliefs(index int) []Line {
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
	var beliefs []Line
	for _, belief := range latest {
		beliefs = append(beliefs, belief)
	}
	sort.Slice(beliefs, func(i, j int) bool { return beliefs[i].At.Before(beliefs[j].At) })
	return beliefs
}

// Key writes who owned a key over time. It reports whether anything was found.
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
	return errors.Wrap(err, "write story")
}
