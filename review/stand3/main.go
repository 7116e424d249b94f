// Command stand3 plays the scripts of the third review: it starts the project's processes on
// loopback addresses, with small stand-ins of the platform, the servers and the clients, and
// judges what these see. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	maxDuration = 115 * time.Second
)

// configBound is the bound config-ms.
const configBound = 3 * time.Second

// scenes are the cases by name.
var scenes = map[string]func(ctx context.Context, r *record, folder string, trouble bool) (broken bool, err error){
	"config": playConfigBehindReaders,
	"scan":   playLongAnswers,
}

func main() { os.Exit(play()) }

// play plays the scene of the first argument and writes the record to the path of the second.
func play() int {
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 SCENE RECORD")
		return exitNotRun
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		record.line("could not run: %v", err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	broken, err := scenes[os.Args[1]](ctx, record, folder, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.line("could not run: %v", err)
		return exitNotRun
	case broken:
		record.line("the rule was broken")
		return exitBroken
	default:
		record.line("the rule held")
		return exitHeld
	}
}

// serveCloud serves the platform's call that promotes a server. None is due in these cases.
func serveCloud(ctx context.Context, record *record) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		record.line("the platform is asked for %s %s", r.Method, r.URL.Path)
		w.WriteHeader(http.StatusConflict)
	})}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}
