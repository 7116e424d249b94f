package load

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 120_000_000
	significantDigits = 3
)

// Score holds the results that callers saw. Its methods may be called from any
// goroutine.
type Score struct {
	deadline      time.Duration
	mu            sync.Mutex
	organisations map[string]*requestCounts  // guarded by mu
	latency       *hdrhistogram.Histogram    // guarded by mu; microseconds
	writes        map[string]verdict.Verdict // guarded by mu; by entry id
	services      map[string]string          // guarded by mu; service by entry id
	codes         map[string]int             // guarded by mu; failures by SQLSTATE
	acknowledged  map[string][]time.Time     // guarded by mu; by service
	reads, stale  int                        // guarded by mu
	connectFails  int                        // guarded by mu
}

// requestCounts counts one organisation's requests: all, the entitled ones, and of
// those the ones answered in time and the ones wrongfully refused for the rate.
type requestCounts struct {
	entitled, inTime, wrongful, total int
}

// NewScore returns an empty score. An entitled request, one within its organisation's
// rate and burst, counts as answered in time if it was answered within the deadline
// after its scheduled start.
func NewScore(deadline time.Duration) *Score {
	return &Score{
		deadline:      deadline,
		organisations: make(map[string]*requestCounts),
		latency:       hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		writes:        make(map[string]verdict.Verdict),
		services:      make(map[string]string),
		codes:         make(map[string]int),
		acknowledged:  make(map[string][]time.Time),
	}
}

func (s *Score) write(organisation, service, id string, j job, outcome Outcome) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes[id] = outcome.Verdict
	s.services[id] = service
	if outcome.Verdict == verdict.Ran {
		s.acknowledged[service] = append(s.acknowledged[service], now)
	}
	s.countLocked(organisation, j, outcome, now)
}

func (s *Score) read(organisation string, j job, outcome Outcome, stale bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if outcome.Verdict == verdict.Ran {
		s.reads++
	}
	if stale {
		s.stale++
	}
	s.countLocked(organisation, j, outcome, now)
}

func (s *Score) countUnanswered(organisation string, j job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countLocked(organisation, j, Outcome{Code: "backlog"}, time.Now())
}

func (s *Score) countConnectFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connectFails++
}

func (s *Score) countLocked(organisation string, j job, outcome Outcome, now time.Time) {
	counts := s.organisations[organisation]
	if counts == nil {
		counts = &requestCounts{}
		s.organisations[organisation] = counts
	}
	counts.total++
	if outcome.Verdict != verdict.Ran {
		s.codes[outcome.Code]++
	}
	latency := now.Sub(j.scheduledAt)
	if outcome.Verdict == verdict.Ran {
		_ = s.latency.RecordValue(min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros))
	}
	if !j.entitled {
		return
	}
	counts.entitled++
	switch {
	case outcome.Verdict == verdict.Ran && latency <= s.deadline:
		counts.inTime++
	case outcome.Code == verdict.CodeConfigurationLimit:
		counts.wrongful++
	}
}

// Writes returns the last known verdict of every write by entry id, and the
// service it was sent to.
func (s *Score) Writes() (verdicts map[string]verdict.Verdict, services map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.writes), maps.Clone(s.services)
}

// FirstAcknowledgedAfter returns the time from the instant to the next acknowledged
// write of the service, and whether there was one.
func (s *Score) FirstAcknowledgedAfter(service string, instant time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.acknowledged[service] {
		if at.After(instant) {
			return at.Sub(instant), true
		}
	}
	return 0, false
}

// Acknowledged returns the number of acknowledged writes of the service.
func (s *Score) Acknowledged(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.acknowledged[service])
}

// LongestWriteGap returns the longest period between from and to without an
// acknowledged write of the service.
func (s *Score) LongestWriteGap(service string, from, to time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := from
	var longest time.Duration
	for _, at := range s.acknowledged[service] {
		if at.Before(from) || at.After(to) {
			continue
		}
		longest = max(longest, at.Sub(last))
		last = at
	}
	return max(longest, to.Sub(last))
}

// Summary holds the totals and latency quantiles of a score. WorstShare is the lowest
// fraction of an organisation's entitled requests that were answered in time, 0 to 1,
// and Worst is the name of that organisation.
type Summary struct {
	Requests        int            `json:"requests"`
	Reads           int            `json:"reads"`
	StaleReads      int            `json:"stale_reads"`
	Entitled        int            `json:"entitled"`
	Wrongful        int            `json:"wrongful"`
	WorstShare      float64        `json:"worst_organisation_share"`
	Worst           string         `json:"worst_organisation"`
	Failures        map[string]int `json:"failures_by_code"`
	ConnectFailures int            `json:"connect_failures"`
	P50, P99, P999  time.Duration  `json:"-"`
}

// Summary summarises the results so far.
func (s *Score) Summary() Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := Summary{
		Reads:           s.reads,
		StaleReads:      s.stale,
		WorstShare:      1,
		Failures:        maps.Clone(s.codes),
		ConnectFailures: s.connectFails,
		P50:             s.quantileLocked(50),
		P99:             s.quantileLocked(99),
		P999:            s.quantileLocked(99.9),
	}
	for name, counts := range s.organisations {
		sum.Requests += counts.total
		sum.Entitled += counts.entitled
		sum.Wrongful += counts.wrongful
		if counts.entitled == 0 {
			continue
		}
		if share := float64(counts.inTime) / float64(counts.entitled); share < sum.WorstShare {
			sum.WorstShare = share
			sum.Worst = name
		}
	}
	return sum
}

func (s *Score) quantileLocked(q float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(q)) * time.Microsecond
}
