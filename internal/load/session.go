package load

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/hornbeamlock/hornbeamlock/internal/history"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

const (
	// Schema creates the table that sessions write to. It has no unique index, so
	// that a write that was applied twice is detected.
	Schema = `CREATE TABLE IF NOT EXISTS entry (id TEXT, session TEXT, value INTEGER)`
	// SchemaIndex creates the index for reads by session.
	SchemaIndex = `CREATE INDEX IF NOT EXISTS entry_by_session ON entry (session, value)`

	insertEntry = `INSERT INTO entry (id, session, value) VALUES ($1, $2, $3)`
	selectLast  = `SELECT max(value) FROM entry WHERE session = $1`

	connectTimeout  = 3 * time.Second
	reconnectDelay  = 50 * time.Millisecond
	responseTimeout = 30 * time.Second
)

// session is one caller's session: it writes increasing numbers under its own name
// and reads them back.
type session struct {
	plan         *Plan
	organisation Organisation
	name         string
	service      string
	score        *Score
	rng          *rand.Rand

	connection       Connection
	instance         int    // the DialRequest.Instance of the last connection attempt
	floor            string // last floor that the fleet reported, empty if none
	lastAttempted    int64  // number of the last attempted write
	lastAcknowledged int64  // number of the last acknowledged write
}

func newSession(plan *Plan, o Organisation, organisation, n int, score *Score) *session {
	return &session{
		plan:         plan,
		organisation: o,
		name:         fmt.Sprintf("%s-%d-%x", o.Name, n, plan.Seed),
		service:      plan.Services[n%len(plan.Services)],
		score:        score,
		rng:          rand.New(rand.NewPCG(plan.Seed, uint64(organisation)<<32|uint64(n)+1)),
		instance:     n + organisation,
	}
}

func (s *session) run(ctx context.Context, jobs <-chan job) {
	defer s.disconnect()
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-jobs:
			s.execute(ctx, j)
		}
	}
}

func (s *session) execute(ctx context.Context, j job) {
	if s.rng.Float64() < s.plan.RoamShare {
		s.disconnect()
	}
	if !s.connect(ctx) {
		return
	}
	if !sleepUntil(ctx, time.Now().Add(s.plan.RoundTrip)) {
		return
	}
	// The request isn't cancelled with ctx, so that the end of the run leaves no
	// write with an unknown outcome.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), responseTimeout)
	defer cancel()
	if j.read {
		s.read(callCtx, j)
	} else {
		s.write(callCtx, j)
	}
	if s.connection.IsClosed() {
		s.connection = nil
	}
}

func (s *session) write(ctx context.Context, j job) {
	s.lastAttempted++
	start := time.Now()
	id := fmt.Sprintf("%s/%d", s.name, s.lastAttempted)
	_, err := s.connection.Exec(ctx, insertEntry, id, s.name, s.lastAttempted)
	outcome := outcomeOf(err)
	if outcome.Verdict == verdict.Ran {
		s.lastAcknowledged = s.lastAttempted
	}
	s.floor = cmp.Or(s.connection.Floor(), s.floor)
	s.recordWrite(id, start, outcome)
	s.score.write(s.organisation.Name, s.service, id, j, outcome)
}

func (s *session) read(ctx context.Context, j job) {
	start := time.Now()
	var last *int64
	err := s.connection.QueryRow(ctx, selectLast, s.name).Scan(&last)
	outcome := outcomeOf(err)
	stale := err == nil && (last == nil && s.lastAcknowledged > 0 || last != nil && *last < s.lastAcknowledged)
	s.floor = cmp.Or(s.connection.Floor(), s.floor)
	if err == nil {
		s.recordRead(start, last)
	}
	s.score.read(s.organisation.Name, j, outcome, stale)
}

func (s *session) recordWrite(id string, start time.Time, outcome Outcome) {
	if s.plan.Recorder == nil {
		return
	}
	s.plan.Recorder.Write(history.Write{
		ID: id, Organisation: s.organisation.Name, Session: s.name, Key: s.name,
		Number: s.lastAttempted, Start: start, End: time.Now(), Outcome: outcome.Verdict,
	})
}

func (s *session) recordRead(start time.Time, last *int64) {
	if s.plan.Recorder == nil {
		return
	}
	read := history.Read{
		Organisation: s.organisation.Name, Session: s.name, Key: s.name, Start: start, End: time.Now(),
	}
	if last != nil {
		read.Highest = *last
	}
	s.plan.Recorder.Read(read)
}

// connect opens a connection to the next instance in turn if there is none. It
// retries until ctx ends and then returns false.
func (s *session) connect(ctx context.Context) bool {
	for s.connection == nil {
		s.instance++
		connection, err := s.plan.Dial(ctx, DialRequest{
			Organisation: s.organisation.Name, Key: s.organisation.Key,
			Service: s.service, Instance: s.instance, Floor: s.floor,
		})
		if err == nil {
			s.connection = connection
			return true
		}
		s.score.countConnectFailure()
		if !sleepUntil(ctx, time.Now().Add(reconnectDelay)) {
			return false
		}
	}
	return true
}

func (s *session) disconnect() {
	if s.connection == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	_ = s.connection.Close(ctx)
	s.connection = nil
}

// Outcome is the outcome of a request.
type Outcome struct {
	Verdict verdict.Verdict
	// Code is the SQLSTATE of a refusal or failure, or "backlog" if the request was
	// dropped from a full backlog; empty if the request succeeded.
	Code string
}

// outcomeOf returns the outcome by the verdict in the DETAIL field of the proxy's
// error. For an error without one it is unknown whether the request ran.
func outcomeOf(err error) Outcome {
	if err == nil {
		return Outcome{Verdict: verdict.Ran}
	}
	var refusal *pgconn.PgError
	if !errors.As(err, &refusal) {
		return Outcome{Verdict: verdict.MayHaveRun, Code: verdict.CodeConnectionFailure}
	}
	if strings.Contains(refusal.Detail, "verdict: "+verdict.NotRun.String()) {
		return Outcome{Verdict: verdict.NotRun, Code: refusal.Code}
	}
	return Outcome{Verdict: verdict.MayHaveRun, Code: refusal.Code}
}
