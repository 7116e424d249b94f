package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// instance is one process of the system.
type instance struct {
	s                            *stage
	name, zone                   string
	front, control, probe, stats string

	mu   sync.Mutex
	cmd  *exec.Cmd     // nil while the process does not run; guarded by mu
	done chan struct{} // closed when the process has ended; guarded by mu
}

func (s *stage) newInstance(n int) (*instance, error) {
	zone := zones[n%len(zones)]
	i := &instance{s: s, name: fmt.Sprintf("edge-%s-%d", zone, 1+n/len(zones)), zone: zone}
	host := fmt.Sprintf("127.61.1.%d", n+1)
	for _, address := range []*string{&i.front, &i.control, &i.probe, &i.stats} {
		free, err := freeAddress(host)
		if err != nil {
			return nil, err
		}
		*address = free
	}
	return i, nil
}

func (i *instance) settingsPath() string { return filepath.Join(i.s.folder, i.name+".conf") }
func (i *instance) logPath() string      { return filepath.Join(i.s.folder, i.name+".log") }

// writeSettings writes what the platform makes of deploy/settings.json.tmpl.
func (i *instance) writeSettings() error {
	var seeds []string
	for _, other := range i.s.instances[:min(3, len(i.s.instances))] {
		seeds = append(seeds, fmt.Sprintf("%q", other.control))
	}
	text := fmt.Sprintf(`{
  "instance": { "id": %q, "failure_domain": %q, "region": "sul", "cpu_share": 0.4 },
  "callers": { "listen": %q },
  "peers": { "listen": %q, "seeds": [%s] },
  "readiness": { "listen": %q },
  "metrics": { "listen": %q },
  "store": { "address": %q },
  "promotion": { "address": %q },
  "primaries": { "remote_lifetime": "4500ms" },
  "quota": { "window": "5s", "tolerance": 0.1, "slack": 20 },
  "failure_domains": %s,
  "configuration": { "bound": "3000ms" },
  "drain": { "grace": "6s" }
}
`, i.name, i.zone, i.front, i.control, strings.Join(seeds, ","), i.probe, i.stats, i.s.storeAddress, i.s.promotionAddress, zoneTable())
	return os.WriteFile(i.settingsPath(), []byte(text), 0o600)
}

// start starts the process.
func (i *instance) start() error {
	log, err := os.OpenFile(i.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(i.s.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + i.s.folder, "HORNBEAMLOCK_NODE_FILE=" + i.settingsPath(), "GOGC=60"}
	cmd.Stderr, cmd.Stdout = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	done := make(chan struct{})
	i.mu.Lock()
	i.cmd, i.done = cmd, done
	i.mu.Unlock()
	i.s.record.line("instance %s starts", i.name)
	go func() {
		_ = cmd.Wait() // the end of a process is recorded, not its status
		_ = log.Close()
		i.s.record.line("instance %s has ended", i.name)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (i *instance) signal(signal syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		i.s.record.line("instance %s gets signal %d", i.name, signal)
		_ = i.cmd.Process.Signal(signal) // it may have ended
	}
}

// kill ends the process at once.
func (i *instance) kill() {
	i.mu.Lock()
	cmd, done := i.cmd, i.done
	i.mu.Unlock()
	if cmd == nil {
		return
	}
	i.signal(syscall.SIGKILL)
	<-done
	i.mu.Lock()
	i.cmd = nil
	i.mu.Unlock()
}

// ready reports whether the process answers the platform's probe with 200, and serves clients.
func (i *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.probe + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	conn, err := net.DialTimeout("tcp", i.front, time.Second)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
