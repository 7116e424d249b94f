package group

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	platformv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/platform/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/grpcplatform"
)

// agentsEnv makes the test binary serve the given number of groups of three agents.
const agentsEnv = "GROUP_TEST_AGENTS"

// measureDuration is how long each case is measured.
const measureDuration = 20 * time.Second

// fixedAgent returns the same response to every status call.
type fixedAgent struct {
	platformv1.UnimplementedGroupServerServiceServer
	status *platformv1.StatusResponse
}

func (a *fixedAgent) Status(context.Context, *platformv1.StatusRequest) (*platformv1.StatusResponse, error) {
	return a.status, nil
}

// serveAgents prints a line of three addresses for each group and serves until end of
// input.
func serveAgents(groups int) {
	var servers []*grpc.Server
	for g := range groups {
		var line []string
		for i := range 3 {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				panic(err)
			}
			status := &platformv1.StatusResponse{
				Endpoint: fmt.Sprintf("service-%d/%d", g, i), Role: platformv1.Role_ROLE_REPLICA, PromisedTerm: 3, Serving: true,
				Durable: &platformv1.Position{Term: 3, Offset: 123456789}, Replayed: &platformv1.Position{Term: 3, Offset: 123456789},
				TermStarts: []*platformv1.TermStart{{Term: 1}, {Term: 2, Offset: 1234567}, {Term: 3, Offset: 12345678}},
			}
			if i == 0 {
				status.Role = platformv1.Role_ROLE_PRIMARY
			}
			server := grpc.NewServer()
			platformv1.RegisterGroupServerServiceServer(server, &fixedAgent{status: status})
			go func() { _ = server.Serve(listener) }()
			servers = append(servers, server)
			line = append(line, listener.Addr().String())
		}
		fmt.Println(strings.Join(line, " "))
	}
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
	for _, server := range servers {
		server.Stop()
	}
}

// startAgents runs serveAgents in a process of its own and returns the addresses.
func startAgents(b *testing.B, groups int) [][]string {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), agentsEnv+"="+strconv.Itoa(groups))
	stdin, err := cmd.StdinPipe()
	require.NoError(b, err)
	stdout, err := cmd.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, cmd.Start())
	b.Cleanup(func() {
		_ = stdin.Close()
		_ = cmd.Wait()
	})
	var addresses [][]string
	for lines := bufio.NewScanner(stdout); len(addresses) < groups && lines.Scan(); {
		addresses = append(addresses, strings.Fields(lines.Text()))
	}
	require.Len(b, addresses, groups)
	return addresses
}

// wireCounter counts the bytes that TCP sent and received, headers included.
type wireCounter struct {
	mu     sync.Mutex
	conns  map[*countedConn]bool // guarded by mu; open connections
	closed uint64                // guarded by mu; bytes of closed connections
}

// countedConn adds its bytes to the total when it is closed.
type countedConn struct {
	*net.TCPConn
	w *wireCounter
}

// segmentHeader is the length of the IP and TCP headers with timestamps, in bytes.
const segmentHeader = 52

func (w *wireCounter) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counted := &countedConn{TCPConn: conn.(*net.TCPConn), w: w}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[counted] = true
	return counted, nil
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.w.mu.Lock()
	if c.w.conns[c] {
		c.w.closed += c.bytes()
		delete(c.w.conns, c)
	}
	c.w.mu.Unlock()
	return c.TCPConn.Close()
}

func (c *countedConn) bytes() (n uint64) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = info.Bytes_acked + info.Bytes_received + segmentHeader*uint64(info.Segs_in+info.Segs_out)
		}
	})
	return n
}

// bytes returns the bytes transferred and the number of open connections.
func (w *wireCounter) bytes() (total uint64, open int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	total = w.closed
	for conn := range w.conns {
		total += conn.bytes()
	}
	return total, len(w.conns)
}

func cpuTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	require.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func usedMemory() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// BenchmarkDetection measures the cost of monitoring groups for one instance: status
// calls, wire bytes, processor time and memory, by size of the fleet and number of
// groups.
func BenchmarkDetection(b *testing.B) {
	cases := []struct {
		instances, groups int
		traffic           bool
	}{
		{9, 3, true},
		{9, 60, true},
		{9, 860, true},
		{430, 3, true},
		{430, 60, true},
		{430, 860, false},
		{430, 860, true},
	}
	for _, tc := range cases {
		b.Run(fmt.Sprintf("instances=%d/groups=%d/traffic=%t", tc.instances, tc.groups, tc.traffic), func(b *testing.B) {
			addresses := startAgents(b, tc.groups)
			for b.Loop() {
				measureDetection(b, tc.instances, addresses, tc.traffic)
			}
		})
	}
}

// measureDetection runs one instance of a fleet; with traffic it serves all groups.
func measureDetection(b *testing.B, instances int, addresses [][]string, traffic bool) {
	w := wireCounter{conns: make(map[*countedConn]bool)}
	adapter, err := grpcplatform.New(grpcplatform.Config{Address: "127.0.0.1:1", Dial: w.dial})
	require.NoError(b, err)
	defer adapter.Close()
	board := blackboard.NewBoard()
	board.Configuration.Set(configurationView(addresses))
	for i := 1; i < instances; i++ {
		id := fmt.Sprintf("instance-%d", i)
		board.Members.Put(id, blackboard.Member{ID: id, FailureDomain: domainName(i)})
	}
	before := usedMemory()
	c, err := New(Config{InstanceID: "instance-0", FailureDomain: domainName(0), Board: board, Groups: adapter.Platform().Groups})
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = c.Run(ctx) })
	touch := func() {
		for g := range addresses {
			if traffic {
				c.Touch(serviceName(g))
			}
		}
	}
	for c.watcher(serviceName(len(addresses)-1)) == nil {
		time.Sleep(time.Millisecond)
	}
	touch()
	time.Sleep(measureDuration / 2) // connections and first samples
	calls, cpu, began := c.counters.statusCalls.Value(), cpuTime(b), time.Now()
	sent, _ := w.bytes()
	for time.Since(began) < measureDuration {
		time.Sleep(time.Second)
		touch()
	}
	took := time.Since(began).Seconds()
	b.ReportMetric(float64(c.counters.statusCalls.Value()-calls)/took, "calls/s")
	total, open := w.bytes()
	b.ReportMetric(float64(total-sent)/took, "wire-B/s")
	b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/took, "core-%")
	b.ReportMetric((float64(usedMemory())-float64(before))/(1<<20), "MB")
	b.ReportMetric(float64(open), "conns")
	cancel()
	running.Wait()
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i%7) }

func serviceName(g int) string { return fmt.Sprintf("service-%d", g) }

func configurationView(addresses [][]string) *fleetconfig.View {
	cfg := &configv1.Configuration{Version: 1}
	for g, servers := range addresses {
		service := &configv1.Service{Name: serviceName(g)}
		for i, address := range servers {
			service.Endpoints = append(service.Endpoints, &configv1.Endpoint{
				Id: fmt.Sprintf("service-%d/%d", g, i), ControlAddress: address, FailureDomain: domainName(g + i),
			})
		}
		cfg.Services = append(cfg.Services, service)
	}
	return fleetconfig.Compile(cfg)
}
