package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryLimit is limits.memory-mb of the small deployments.
	memoryLimit = 284 << 20
	// memoryPoll is the time between two looks at the processes' memory.
	memoryPoll = 10 * time.Millisecond
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// scannedMachines is the number of machines that are asked for long answers; each of the
	// others has callers only.
	scannedMachines = 2
	// writePause is the time between two writes of a session.
	writePause = 250 * time.Millisecond
	// callersPerMachine is the number of sessions that write small items meanwhile.
	callersPerMachine = 8
	// longAnswer and usualAnswer are the numbers of rows of the answer, rowBytes the size of one.
	// A row stays below the limit of 1 MiB.
	longAnswer, usualAnswer = 128, 2
	rowBytes                = 1<<20 - 100
	// endsPerMachine is the number of ends that the rule names.
	endsPerMachine = 3
	// scanPause is the time between two long answers at a machine: more than stable-window-ms.
	scanPause = 6 * time.Second
	// scans is the number of long answers at a machine.
	scans = 6
	// scanItem is the item whose content is long.
	scanItem = "catalogue"
)

// residentBytes returns the memory of a process.
func residentBytes(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize()
}

// playLongAnswers has one client of each of two machines read an item with many rows, and kills
// and restarts processes over their memory limit as the platform does.
func playLongAnswers(ctx context.Context, r *record, folder string, trouble bool) (broken bool, err error) {
	st, err := newStage(ctx, r, folder)
	if err != nil {
		return false, err
	}
	defer st.fleet.stop()
	rows := usualAnswer
	if trouble {
		rows = longAnswer
	}
	for _, s := range st.services {
		s.scanRows = rows
	}
	time.Sleep(settleTime)
	ctx, cancel := context.WithTimeout(ctx, scanPause*scans+scanPause/2)
	defer cancel()
	ends := make([]int, len(st.fleet.instances))
	var answered, unanswered atomic.Int64
	var pending sync.WaitGroup
	for n, i := range st.fleet.instances {
		pending.Go(func() { ends[n] = st.limitMemory(ctx, i) })
		for c := range callersPerMachine {
			pending.Go(func() { writeUntilDone(ctx, i, fmt.Sprintf("%s-%d", i.name, c), &answered, &unanswered) })
		}
	}
	for _, i := range st.fleet.instances[:scannedMachines] {
		pending.Go(func() { st.scanUntilDone(ctx, i) })
	}
	pending.Wait()
	ended := 0
	for n, i := range st.fleet.instances {
		r.line("%s ended %d times because of its memory", i.name, ends[n])
		if ends[n] >= endsPerMachine {
			ended++
		}
	}
	r.line("small writes of the other sessions: %d answered, %d sent without an answer", answered.Load(), unanswered.Load())
	return ended >= scannedMachines, nil
}

// limitMemory kills the process of an instance when it exceeds its limit, starts it again, and
// returns how often.
func (st *stage) limitMemory(ctx context.Context, i *instance) int {
	ends, peak := 0, 0
	for {
		select {
		case <-ctx.Done():
			st.record.line("%s: %d MB at most", i.name, peak>>20)
			return ends
		case <-time.After(memoryPoll):
		}
		resident := residentBytes(i.process.Process.Pid)
		peak = max(peak, resident)
		if resident <= memoryLimit {
			continue
		}
		ends++
		st.record.line("%s has %d MB, limit %d MB: killed", i.name, resident>>20, memoryLimit>>20)
		_ = i.process.Process.Kill()
		_ = i.process.Wait()
		time.Sleep(restartDelay)
		if err := st.fleet.launch(i); err != nil {
			st.record.line("%s is not started again: %v", i.name, err)
			return ends
		}
	}
}

// scanUntilDone reads the long item once in scanPause.
func (st *stage) scanUntilDone(ctx context.Context, i *instance) {
	for n := 0; ctx.Err() == nil; n++ {
		s, err := connect(i.front, database, key)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("scan-%s-%d", i.name, n)
		answer, err := s.query(id, "READ "+scanItem)
		s.conn.Close()
		st.record.line("%s sent to %s: %s, error %v", id, i.name, answer, err)
		select {
		case <-time.After(scanPause):
		case <-ctx.Done():
		}
	}
}

// writeUntilDone writes on a session, and on a new one after each that breaks.
func writeUntilDone(ctx context.Context, i *instance, name string, answered, unanswered *atomic.Int64) {
	for n := 0; ctx.Err() == nil; {
		s, err := connect(i.front, database, key)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for ; ctx.Err() == nil; n++ {
			if _, err := s.query(fmt.Sprintf("%s-%d", name, n), "WRITE "+name+" "+strconv.Itoa(n)); err != nil {
				unanswered.Add(1)
				break
			}
			answered.Add(1)
			time.Sleep(writePause)
		}
		s.conn.Close()
	}
}
