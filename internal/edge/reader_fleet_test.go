package edge

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// pathFault is how the store fails for one instance.
type pathFault string

const (
	noFault      pathFault = ""
	storeSilent  pathFault = "store does not answer"
	storeRefuses pathFault = "store refuses"
	storeSlow    pathFault = "store is slow"
	waitsSilent  pathFault = "store does not answer waits"
	frozen       pathFault = "process frozen"
	stopped      pathFault = "process stopped"
	restarted    pathFault = "process restarted"
	// peersSilent and peersSlow concern the answers to other instances only.
	peersSilent pathFault = "peers get no answer"
	peersSlow   pathFault = "peers get late answers"
)

// latePeerAnswer is the delay of an answer to another instance, close to its timeout.
const latePeerAnswer = readerTimeout * 5 / 6

// slowAnswer is the delay of a slow store, close to the timeout of a call.
const slowAnswer = storeTimeout * 9 / 10

// storePath is the path of one instance to the store.
type storePath struct {
	mu    sync.Mutex
	fault pathFault // guarded by mu
	calls int       // guarded by mu
}

func (p *storePath) set(fault pathFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

func (p *storePath) get() pathFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// begin counts a call.
func (p *storePath) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
}

// end returns when the answer to a call arrives, with an error if it is refused or never arrives.
func (p *storePath) end(ctx context.Context, isWait bool) error {
	switch fault := p.get(); {
	case fault == storeRefuses:
		return errStub
	case fault == storeSlow:
		time.Sleep(slowAnswer)
		return ctx.Err()
	case fault == storeSilent, fault == frozen, fault == waitsSilent && isWait:
		<-ctx.Done()
		return ctx.Err()
	default:
		return ctx.Err()
	}
}

// pathRows are rows of the store as one instance reads them, or waits for their changes.
type pathRows struct {
	follow.Source
	path   *storePath
	store  *memoryStore
	prefix string
}

func (r pathRows) Read(ctx context.Context) ([]follow.Row, platform.Revision, error) {
	r.path.begin()
	rows, version, err := r.Source.Read(ctx)
	if failed := r.path.end(ctx, false); failed != nil {
		return nil, 0, failed
	}
	return rows, version, err
}

// awaitedRows are pathRows whose changes can be waited for.
type awaitedRows struct{ pathRows }

var _ follow.Waiter = awaitedRows{}

func (r awaitedRows) Await(ctx context.Context, version platform.Revision, wait time.Duration) (bool, platform.Revision, error) {
	r.path.begin()
	time.Sleep(r.store.latency)
	for deadline := time.Now().Add(wait); ; time.Sleep(pollInterval) {
		changed, newest := r.store.changedSince(r.prefix, version)
		if !changed && time.Now().Before(deadline) && ctx.Err() == nil {
			continue
		}
		if err := r.path.end(ctx, true); err != nil {
			return false, 0, err
		}
		return changed, newest, nil
	}
}

// changedSince reports whether a row with the prefix was written after a version, and returns the
// newest version.
func (s *memoryStore) changedSince(prefix string, version platform.Revision) (bool, platform.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && row.Revision > version {
			return true, s.version
		}
	}
	return false, s.version
}

// put writes a row as an operator or a server does.
func (s *memoryStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[key] = platform.Row{Key: key, Value: []byte(value), Revision: s.version}
}

// remove removes a row as an operator or a server does.
func (s *memoryStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	delete(s.rows, key)
}

// pathTable is the table of the fleet's rows as one instance reaches it.
type pathTable struct {
	*memoryStore
	path *storePath
}

func (t pathTable) Get(ctx context.Context, keys ...string) ([]platform.Row, time.Time, error) {
	t.path.begin()
	rows, now, err := t.memoryStore.Get(ctx, keys...)
	if failed := t.path.end(ctx, false); failed != nil {
		return nil, time.Time{}, failed
	}
	return rows, now, err
}

func (t pathTable) List(ctx context.Context, prefix string) ([]platform.Row, time.Time, error) {
	t.path.begin()
	rows, now, err := t.memoryStore.List(ctx, prefix)
	if failed := t.path.end(ctx, false); failed != nil {
		return nil, time.Time{}, failed
	}
	return rows, now, err
}

func (t pathTable) Commit(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (platform.CommitResult, error) {
	t.path.begin()
	if fault := t.path.get(); fault == storeSilent || fault == frozen || fault == storeRefuses {
		return platform.CommitResult{}, t.path.end(ctx, false)
	}
	return t.memoryStore.Commit(ctx, conditions, writes)
}

// readerFleet is a memoryFleet in which the store and the processes fail for single instances.
// The instances of failure domain a are the first ones.
type readerFleet struct {
	*memoryFleet
	paths map[string]*storePath
}

// startReaderFleet starts a fleet with failure domains a, b and so on of the given sizes.
func startReaderFleet(t *testing.T, bound time.Duration, sizes ...int) *readerFleet {
	f := &readerFleet{memoryFleet: newFleet(t), paths: make(map[string]*storePath)}
	f.store.put("config", "1")
	f.store.put("server/s1", "ready")
	f.configure = func(c *Config) {
		path := f.paths[c.Name]
		if path == nil {
			path = &storePath{}
			f.paths[c.Name] = path
		}
		rows := func(s follow.Source, prefix string) pathRows {
			return pathRows{Source: s, path: path, store: f.store, prefix: prefix}
		}
		c.ConfigurationBound = bound
		c.Ports.Configuration = awaitedRows{rows(c.Ports.Configuration, "config")}
		c.Ports.Registry = rows(c.Ports.Registry, "server/")
		c.Ports.Fleet = rows(c.Ports.Fleet, "")
		c.Ports.Table = pathTable{memoryStore: f.store, path: path}
		c.Ports.DecodeConfiguration = decodeVersion
		c.Ports.DecodeRegistry = func(rows []follow.Row, _ func(string, error)) *catalog.Registry {
			var endpoints []catalog.Endpoint
			for _, row := range rows {
				endpoints = append(endpoints, catalog.Endpoint{ID: row.Key, Service: "db", Address: row.Key, Draining: string(row.Value) == "draining"})
			}
			return catalog.NewRegistry(endpoints)
		}
	}
	f.wrap = func(name string, h http.Handler) http.Handler {
		path := f.paths[name]
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if path.get() == peersSlow {
				time.Sleep(latePeerAnswer)
			}
			for fault := path.get(); (fault == frozen || fault == peersSilent) && f.ctx.Err() == nil; fault = path.get() {
				time.Sleep(pollInterval)
			}
			h.ServeHTTP(w, r)
		})
	}
	for n, size := range sizes {
		domain := string(rune('a' + n))
		for k := range size {
			f.instances = append(f.instances, f.start(fmt.Sprintf("edge-%s-%02d", domain, k), domain, fmt.Sprintf("10.0.%d.%d:1", n, k)))
		}
	}
	return f
}

// decodeVersion decodes a configuration that consists of its version, after any blanks.
func decodeVersion(rows []follow.Row) (*catalog.Configuration, error) {
	for _, row := range rows {
		if row.Key == "config" {
			version, err := strconv.ParseUint(strings.TrimSpace(string(row.Value)), 10, 64)
			return &catalog.Configuration{Version: version, Organisations: map[string]catalog.Organisation{"shop": {Name: "shop", Rate: 100, Burst: 100}}}, err
		}
	}
	return nil, errStub
}

// fail makes the first k instances of failure domain a fail.
func (f *readerFleet) fail(k int, fault pathFault) {
	for _, i := range f.instances[:k] {
		switch fault {
		case stopped:
			f.stopOne[i.cfg.Name]()
		case restarted:
			f.restart(i)
		default:
			f.paths[i.cfg.Name].set(fault)
		}
	}
}

// recover ends the faults of the first k instances of failure domain a.
func (f *readerFleet) recover(k int, fault pathFault) {
	for _, i := range f.instances[:k] {
		if fault == stopped {
			f.restart(i)
		}
		f.paths[i.cfg.Name].set(noFault)
	}
}

// inTouch returns the instances that have not failed while the first k have.
func (f *readerFleet) inTouch(k int) []*Instance { return f.instances[k:] }

// timeUntil returns the time until all instances satisfy a condition, at most limit, with the
// name of the last one that does.
func timeUntil(instances []*Instance, limit time.Duration, holds func(*Instance) bool) (took time.Duration, last string) {
	began := time.Now()
	remaining := instances
	for len(remaining) > 0 && time.Since(began) < limit {
		time.Sleep(pollInterval)
		var open []*Instance
		for _, i := range remaining {
			if !holds(i) {
				open = append(open, i)
			}
		}
		if len(open) < len(remaining) {
			took, last = time.Since(began), remaining[0].cfg.Name
		}
		remaining = open
	}
	if len(remaining) > 0 {
		return limit, remaining[0].cfg.Name
	}
	return took, last
}

// close ends the fleet, and the requests at frozen processes.
func (f *readerFleet) close() {
	f.memoryFleet.close()
	time.Sleep(latePeerAnswer + 2*pollInterval)
}

// storeCalls returns the number of calls of the store by all instances.
func (f *readerFleet) storeCalls() (count int) {
	for _, p := range f.paths {
		p.mu.Lock()
		count += p.calls
		p.mu.Unlock()
	}
	return count
}

// requireStarted waits until the fleet has settled.
func (f *readerFleet) requireStarted() {
	f.t.Helper()
	time.Sleep(settleTime)
	for _, i := range f.instances {
		require.NotZero(f.t, i.configuration.Get().Version, i.cfg.Name)
	}
}

// pollInterval is the interval at which the stand-ins look for a change of their state.
const pollInterval = 10 * time.Millisecond

// settleTime is the time in which a fleet settles after its start and after faults.
const settleTime = 15 * time.Second
