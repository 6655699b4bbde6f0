package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the seconds since the start.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	must(err)
	return &recorder{file: file, out: bufio.NewWriter(file), start: time.Now()}
}

func (r *recorder) line(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%8.3f  "+format+"\n", append([]any{time.Since(r.start).Seconds()}, arguments...)...)
}

// say writes a line and prints it.
func (r *recorder) say(format string, arguments ...any) {
	r.line(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

func (r *recorder) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	must(r.out.Flush())
	must(r.file.Close())
}
