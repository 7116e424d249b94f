package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// stages are the cases by name. Each returns what breaks the rule, empty if it held.
var stages = map[string]func(r *record, trouble bool) (broken string, err error){
	"draining-replica": drainingReplica,
	"busy-replica":     busyReplica,
	"failed-set":       failedSet,
	"ending-instance":  endingInstance,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what happens")
	flag.Parse()
	play, ok := stages[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "there is no such case")
		return exitFailed
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = r.file.Close() }()
	broken, err := play(r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken != "":
		r.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	r.add("the rule held")
	fmt.Println("held")
	return exitHeld
}
