package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	// silence is how long the store does not answer some machines.
	silence = 7 * time.Second
	// settleTime is how long nothing happens before the first round and after each one: more
	// than stable-window-ms, 4 s.
	settleTime = 8 * time.Second
	// rounds is the number of changes of the configuration.
	rounds = 5
	// sendInterval is the time between two writes of the client.
	sendInterval = 50 * time.Millisecond
	// database is the name of the route, and key that of its caller.
	database, key = "plan-save", "u3f1"
)

// zoneSizes are the numbers of machines in the zones. The last one of the first zone is the one
// that is judged; the store turns the others of that zone away, three of nine machines.
var zoneSizes = []struct {
	zone string
	size int
}{{"caxias", 4}, {"bento", 2}, {"farroupilha", 2}, {"garibaldi", 1}}

// stage holds what a case is played with.
type stage struct {
	record   *record
	store    *store
	fleet    *fleet
	services []*service
	version  int
}

// playConfigBehindReaders moves the route between two services while the store does not answer
// three machines of a zone. The fourth one is in touch all the while, and so is every other machine.
func playConfigBehindReaders(ctx context.Context, r *record, folder string, trouble bool) (broken bool, err error) {
	st, err := newStage(ctx, r, folder)
	if err != nil {
		return false, err
	}
	defer st.fleet.stop()
	judged := st.fleet.instances[zoneSizes[0].size-1]
	caller, err := connect(judged.front, database, key)
	if err != nil {
		return false, err
	}
	defer caller.conn.Close()
	for round := range rounds {
		time.Sleep(settleTime)
		late, err := st.round(ctx, caller, judged, round, trouble)
		if err != nil {
			return false, err
		}
		broken = broken || late
	}
	return broken, nil
}

// newStage starts the stand-ins and the processes.
func newStage(ctx context.Context, r *record, folder string) (*stage, error) {
	st := &stage{record: r, store: newStore(), fleet: &fleet{folder: folder}}
	var err error
	if st.fleet.cloud, err = serveCloud(ctx, r); err != nil {
		return nil, err
	}
	for _, name := range []string{"planos-a", "planos-b"} {
		s := newService(name)
		st.services = append(st.services, s)
		for n, role := range []string{"primary", "replica"} {
			member := &server{service: s, id: "i-" + name + "-" + role, zone: zoneSizes[n+1].zone, role: role}
			if err := member.start(ctx, st.store); err != nil {
				return nil, err
			}
		}
	}
	st.configure(0)
	zones := make(map[string]string)
	for _, z := range zoneSizes {
		zones[z.zone] = "sul"
		for number := range z.size {
			if err := st.fleet.add(ctx, st.store, z.zone, number+1); err != nil {
				return nil, err
			}
		}
	}
	if err := st.fleet.start(zones); err != nil {
		st.fleet.stop()
		return nil, err
	}
	if err := st.fleet.await(20 * time.Second); err != nil {
		st.fleet.stop()
		return nil, err
	}
	return st, nil
}

// configure writes a configuration in which the route leads to a service, and returns the time of
// the store's acknowledgement.
func (st *stage) configure(service int) time.Time {
	st.version++
	services := []map[string]any{}
	for _, s := range st.services {
		services = append(services, map[string]any{"name": s.name, "max-conns": 60, "sync-replicas": 0})
	}
	st.store.put("op", "config", map[string]any{
		"version": st.version,
		"routes": []map[string]any{{
			"name": "r-1", "host": database, "service": st.services[service].name, "kind": "primary", "timeout-ms": 3000, "target-latency-ms": 200,
			"priority": 1, "public": false,
		}},
		"services": services,
		"limits":   map[string]any{"tx-idle-ms": 3000},
		"tenants":  []map[string]any{{"name": "atelier", "api-keys": []string{key}, "rate-per-s": 2000, "burst": 2000}},
	})
	acknowledged := time.Now()
	st.record.line("configuration %d acknowledged: %s leads to %s", st.version, database, st.services[service].name)
	return acknowledged
}

// setSilent makes the store silent to the other machines of the judged one's zone, or ends that.
func (st *stage) setSilent(silent bool) {
	for _, i := range st.fleet.instances[:zoneSizes[0].size-1] {
		i.store.silent.Store(silent)
		st.record.line("the store answers %s: %t", i.name, !silent)
	}
}

// round changes the configuration once and reports whether a write that was sent more than
// configBound after the acknowledgement was run by the old service.
func (st *stage) round(ctx context.Context, caller *session, judged *instance, number int, trouble bool) (late bool, err error) {
	from, to := st.services[number%2], st.services[(number+1)%2]
	if trouble {
		st.setSilent(true)
		time.Sleep(20 * time.Millisecond)
	}
	acknowledged := st.configure((number + 1) % 2)
	var lastOld time.Duration
	for n := 0; time.Since(acknowledged) < silence; n++ {
		id := fmt.Sprintf("w%d-%d", number, n)
		sent := time.Since(acknowledged)
		answer, err := caller.query(id, fmt.Sprintf("WRITE item%d data%d", n, n))
		if err != nil {
			return false, errors.Join(fmt.Errorf("write %s: %q", id, answer), err)
		}
		where := "no service"
		switch {
		case to.ranAt(id):
			where = to.name
		case from.ranAt(id):
			where, lastOld = from.name, sent
		}
		if strings.HasPrefix(answer, "COMPLETE") && where == from.name && sent > configBound {
			late = true
		}
		st.record.line("write %s sent to %s %d ms after the acknowledgement: run by %s, answered %s", id, judged.name, sent.Milliseconds(), where, answer)
		select {
		case <-time.After(sendInterval):
		case <-ctx.Done():
			return late, ctx.Err()
		}
	}
	st.record.line("round %d: the last write to the old service was sent %d ms after the acknowledgement; the bound is %d ms", number, lastOld.Milliseconds(), configBound.Milliseconds())
	if trouble {
		st.setSilent(false)
	}
	return late, nil
}
