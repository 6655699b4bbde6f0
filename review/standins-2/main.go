// Command standins2 starts router processes beside stand-ins of the platform, plays one scenario and
// checks what clients and servers have seen.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

var scenarios = map[string]func(program, template, folder string, trouble bool, record *recorder) bool{
	"drill":   drill,
	"encoded": encoded,
	"uploads": uploads,
}

func couldNotRun(reason string) {
	panic(notRun(reason))
}

// notRun is why a case couldn't run.
type notRun string

func main() {
	name := flag.String("scenario", "", "name of the scenario")
	program := flag.String("router", "target/micahaven-router", "path of the router's program")
	template := flag.String("template", "deploy/settings.yaml", "path of the template of the settings")
	output := flag.String("record", "record.txt", "path of the record")
	flag.Parse()
	os.Exit(play(*name, *program, *template, *output))
}

func play(name, program, template, output string) (code int) {
	scenario := scenarios[name]
	if scenario == nil {
		fmt.Fprintln(os.Stderr, "no such scenario:", name)
		return exitNotRun
	}
	record := newRecorder(output)
	defer record.close()
	folder, err := os.MkdirTemp("", "review-")
	must(err)
	defer os.RemoveAll(folder)
	defer func() {
		if cause := recover(); cause != nil {
			record.say("could not run: %v", cause)
			code = exitNotRun
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.say("scenario %s, trouble %v", name, trouble)
	if !scenario(program, template, folder, trouble, record) {
		record.say("the rule was broken")
		return exitBroken
	}
	record.say("the rule held")
	return exitHeld
}
