package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// instance is one process of the project.
type instance struct {
	name, zone, ip          string
	front, peers, readiness string
	store                   *storePort
	process                 *exec.Cmd
}

// fleet starts the project's processes as deploy/system.toml does, with settings as its template
// gives them.
type fleet struct {
	folder    string
	instances []*instance
	cloud     string
}

// run is the command of the deploy file.
const run = "target/hornbeamlockd"

// freeAddress returns an address with a port that was free a moment ago.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// add prepares an instance.
func (f *fleet) add(ctx context.Context, s *store, zone string, number int) error {
	i := &instance{name: fmt.Sprintf("edge-%s-%d", zone, number), zone: zone, ip: fmt.Sprintf("127.0.2.%d", len(f.instances)+1)}
	for _, address := range []*string{&i.front, &i.peers, &i.readiness} {
		free, err := freeAddress(i.ip)
		if err != nil {
			return err
		}
		*address = free
	}
	var err error
	if i.store, err = s.listen(ctx, i.ip); err != nil {
		return err
	}
	f.instances = append(f.instances, i)
	return nil
}

// settings returns the settings of an instance, as the template of the deploy file has them.
func (f *fleet) settings(i *instance, zones map[string]string) map[string]any {
	seeds := []string{}
	for _, other := range f.instances[:min(3, len(f.instances))] {
		seeds = append(seeds, other.peers)
	}
	return map[string]any{
		"instance":        map[string]any{"id": i.name, "failure_domain": i.zone, "region": "sul", "cpu_share": 0.4},
		"callers":         map[string]any{"listen": i.front},
		"peers":           map[string]any{"listen": i.peers, "seeds": seeds},
		"readiness":       map[string]any{"listen": i.readiness},
		"store":           map[string]any{"address": i.store.address},
		"promotion":       map[string]any{"address": f.cloud},
		"primaries":       map[string]any{"remote_lifetime": "4500ms"},
		"quota":           map[string]any{"window": "5s", "tolerance": 0.1, "slack": 20},
		"failure_domains": zones,
		"configuration":   map[string]any{"bound": fmt.Sprintf("%dms", configBound.Milliseconds())},
		"drain":           map[string]any{"grace": "6s"},
	}
}

// start starts all instances. Their logs go to the folder.
func (f *fleet) start(zones map[string]string) error {
	for _, i := range f.instances {
		encoded, err := json.Marshal(f.settings(i, zones))
		if err != nil {
			return err
		}
		if err := os.WriteFile(f.path(i, ".json"), encoded, 0o600); err != nil {
			return err
		}
		if err := f.launch(i); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) path(i *instance, suffix string) string {
	return filepath.Join(f.folder, i.name+suffix)
}

// launch starts the process of an instance.
func (f *fleet) launch(i *instance) error {
	logFile, err := os.OpenFile(f.path(i, ".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }() // the process has its own descriptor
	i.process = exec.Command(run)
	i.process.Env = []string{"GOGC=60", "HORNBEAMLOCK_NODE_FILE=" + f.path(i, ".json"), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	i.process.Stdout, i.process.Stderr = logFile, logFile
	return i.process.Start()
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, i := range f.instances {
		if i.process != nil && i.process.Process != nil {
			_ = i.process.Process.Kill()
			_ = i.process.Wait()
		}
	}
}

// await waits until every instance answers the readiness probe with 200.
func (f *fleet) await(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(timeout)
	for _, i := range f.instances {
		for !isReady(client, i) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(client *http.Client, i *instance) bool {
	response, err := client.Get("http://" + i.readiness + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
