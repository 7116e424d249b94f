// Command stand2 plays the cases of the second review that are scripts: it starts the built
// instances as processes, and stand-ins of the store, the promotion API, the database servers and
// the clients in its own process, all on loopback addresses and the real clock.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseFunc plays a case with or without its disruptions and returns what broke the rule.
type caseFunc func(s *stage, trouble bool) (broken []string, err error)

var cases = map[string]caseFunc{
	"departed-replica": playDepartedReplica,
	"late-entries":     playLateEntries,
}

func main() {
	name := flag.String("case", "", "the case to play: "+strings.Join(caseNames(), ", "))
	program := flag.String("program", "target/hornbeamlockd", "the built instance")
	record := flag.String("record", "record.txt", "the file that gets what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruptions")
	logs := flag.String("logs", "", "a folder that keeps the instances' logs")
	flag.Parse()
	os.Exit(play(*name, *program, *record, *logs, *trouble))
}

func caseNames() []string {
	names := make([]string, 0, len(cases))
	for name := range cases {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func play(name, program, record, logs string, trouble bool) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "there is no such case")
		return exitFailed
	}
	s, err := newStage(program, record, logs)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.close()
	go s.closeOnSignal()
	broken, err := run(s, trouble)
	switch {
	case err != nil:
		s.record.line("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitFailed
	case len(broken) > 0:
		for _, b := range broken {
			s.record.line("BROKEN %s", b)
			fmt.Println("BROKEN", b)
		}
		return exitBroken
	default:
		s.record.line("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}

// closeOnSignal ends the stage and the program when the program is told to stop.
func (s *stage) closeOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	s.close()
	os.Exit(exitFailed)
}
