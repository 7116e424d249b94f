// Command capacity measures idle fleets of hornbeamlockd processes of different sizes
// and prints each measurement as a line of JSON. The slopes in docs/CAPACITY.md are
// computed from these measurements.
//
//	go run ./bench/capacity -fleets 9,27,60 -connections 1000,4000,10000
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// options are the parsed flags.
type options struct {
	fleets        []int
	groups        []int
	organisations []int
	connections   []int
	settle        time.Duration
	window        time.Duration
}

func main() {
	o, err := parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	encoder := json.NewEncoder(os.Stdout)
	err = measure(ctx, o, func(p Point) error { return encoder.Encode(p) })
	if err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(1)
	}
}

func parse(arguments []string) (options, error) {
	var o options
	flags := flag.NewFlagSet("capacity", flag.ContinueOnError)
	fleets := flags.String("fleets", "9,27,60", "numbers of instances, 8 organisations and no group each")
	groups := flags.String("groups", "", "numbers of database groups, 9 instances and 8 organisations each")
	organisations := flags.String("organisations", "", "numbers of organisations, 9 instances and 3 groups each")
	connections := flags.String("connections", "", "numbers of idle connections at one instance")
	flags.DurationVar(&o.settle, "settle", 10*time.Second, "time before the measurement begins")
	flags.DurationVar(&o.window, "window", 20*time.Second, "length of the measurement")
	if err := flags.Parse(arguments); err != nil {
		return o, err
	}
	for _, list := range []struct {
		text string
		into *[]int
	}{
		{*fleets, &o.fleets}, {*groups, &o.groups}, {*organisations, &o.organisations}, {*connections, &o.connections},
	} {
		numbers, err := parseNumbers(list.text)
		if err != nil {
			return o, err
		}
		*list.into = numbers
	}
	return o, nil
}

func parseNumbers(text string) ([]int, error) {
	if text == "" {
		return nil, nil
	}
	var numbers []int
	for _, part := range strings.Split(text, ",") {
		n, err := strconv.Atoi(part)
		if err != nil || n < 1 {
			return nil, fmt.Errorf("%q is not a positive whole number", part)
		}
		numbers = append(numbers, n)
	}
	return numbers, nil
}
