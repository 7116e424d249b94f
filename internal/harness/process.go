package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/settings"
)

const (
	readyPollInterval = 20 * time.Millisecond
	requestTimeout    = 2 * time.Second
	// clockTicksPerSecond converts the processor time in /proc to seconds.
	clockTicksPerSecond = 100
)

// Process is one instance of hornbeamlockd.
type Process struct {
	ID            string
	FailureDomain string
	// Settings are the contents of the instance's settings file.
	Settings     settings.Settings
	binary       string
	settingsFile string
	logFile      string
	// peerAddress is the address of the relay in front of the instance's peer socket.
	peerAddress string

	mu      sync.Mutex
	command *exec.Cmd     // guarded by mu; nil while the process is down
	ended   chan struct{} // guarded by mu; closed when the process has ended
}

// Start starts the process. It does not wait until it is ready.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer log.Close() //nolint:errcheck // the process has its own descriptor
	command := exec.Command(p.binary, "-settings", p.settingsFile)
	command.Stdout, command.Stderr = log, log
	// The kernel kills the process when the thread that started it ends, so that no
	// process outlives the harness. The goroutine therefore keeps that thread until
	// the process has ended.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started, ended := make(chan error, 1), make(chan struct{})
	go func() {
		defer close(ended)
		runtime.LockOSThread()
		err := command.Start()
		started <- err
		if err == nil {
			_ = command.Wait()
		}
	}()
	if err := <-started; err != nil {
		return trace.ConvertSystemError(err)
	}
	p.command, p.ended = command, ended
	return nil
}

// Signal sends a signal to the process if it is running.
func (p *Process) Signal(signal os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// Stop sends the signal and waits until the process has ended.
func (p *Process) Stop(ctx context.Context, signal os.Signal) error {
	p.Signal(signal)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return nil
	}
	select {
	case <-ended:
	case <-ctx.Done():
		return trace.LimitExceeded("instance %s has not ended", p.ID)
	}
	p.mu.Lock()
	p.command, p.ended = nil, nil
	p.mu.Unlock()
	return nil
}

// Pid returns the process id, or 0 while the process is down.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Ready reports whether the instance's readiness check succeeds.
func (p *Process) Ready(ctx context.Context) bool {
	response, err := p.get(ctx, "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close() //nolint:errcheck // nothing is read
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until the instance is ready.
func (p *Process) AwaitReady(ctx context.Context) error {
	for !p.Ready(ctx) {
		select {
		case <-ctx.Done():
			return trace.LimitExceeded("instance %s is not ready, see %s", p.ID, p.logFile)
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// Metrics returns the instance's numeric metrics.
func (p *Process) Metrics(ctx context.Context) (map[string]float64, error) {
	response, err := p.get(ctx, "/metrics")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer response.Body.Close() //nolint:errcheck // read to its end
	var all map[string]any
	if err := json.NewDecoder(response.Body).Decode(&all); err != nil {
		return nil, trace.Wrap(err)
	}
	numbers := make(map[string]float64)
	for name, value := range all {
		if number, ok := value.(float64); ok {
			numbers[name] = number
		}
	}
	return numbers, nil
}

func (p *Process) get(ctx context.Context, path string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Settings.Operations.Listen+path, nil)
	if err != nil {
		cancel()
		return nil, trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		cancel()
		return nil, trace.ConvertSystemError(err)
	}
	response.Body = &cancelOnClose{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

// Usage is the resource usage of a process.
type Usage struct {
	// Processor is the processor time since the start.
	Processor time.Duration
	// ResidentBytes is the current resident memory.
	ResidentBytes int64
}

// Usage returns the processor time and memory of the process.
func (p *Process) Usage() (Usage, error) {
	directory := filepath.Join("/proc", strconv.Itoa(p.Pid()))
	stat, err := os.ReadFile(filepath.Join(directory, "stat"))
	if err != nil {
		return Usage{}, trace.Wrap(err, "instance %s has ended, see %s", p.ID, p.logFile)
	}
	// The first field after the name in parentheses has the number 3.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userField, systemField, residentField = 14 - 3, 15 - 3, 24 - 3
	if len(fields) <= residentField {
		return Usage{}, trace.BadParameter("malformed %s/stat", directory)
	}
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	resident, _ := strconv.ParseInt(fields[residentField], 10, 64)
	return Usage{
		Processor:     time.Duration(user+system) * time.Second / clockTicksPerSecond,
		ResidentBytes: resident * int64(os.Getpagesize()),
	}, nil
}

// Ports for processes are below the ephemeral port range, so that no other socket
// gets one before its process has started.
const (
	firstPort       = 20_000
	lastPort        = 30_000
	maxPortAttempts = 1000
)

// freePort returns an address whose port is free and unused by the fleet. It checks
// this by listening there briefly.
func (f *Fleet) freePort(listen func(address string) (io.Closer, error)) (string, error) {
	for range maxPortAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if f.usedAddresses[address] {
			continue
		}
		if OpenAndClose(func() (io.Closer, error) { return listen(address) }) != nil {
			continue
		}
		f.usedAddresses[address] = true
		return address, nil
	}
	return "", trace.LimitExceeded("no port is free between %d and %d", firstPort, lastPort)
}

// OpenAndClose opens a socket and closes it, so that its address can be used at once. No process
// is started meanwhile: a child process has copies of all sockets until its exec, and they keep
// an address in use. The lock does not cover the first start by this process, with which package
// os probes the kernel.
func OpenAndClose(open func() (io.Closer, error)) error {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	socket, err := open()
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(socket.Close())
}

func listenTCP(address string) (io.Closer, error) { return net.Listen("tcp", address) }

func listenUDP(address string) (io.Closer, error) { return net.ListenPacket("udp", address) }
