package database

import (
	"context"
	"slices"
	"strconv"
	"time"

	standinv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/standin/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// commit commits a transaction's writes and returns their log position.
func (s *Server) commit(writes []*standinv1.Statement) (position.Position, error) {
	var p position.Position
	logged := slices.DeleteFunc(slices.Clone(writes), func(st *standinv1.Statement) bool {
		return firstWord(st.GetSql()) == "SELECT"
	})
	err := s.store.commit(writes, func() error {
		var err error
		p, err = s.appendRecord(logged)
		return err
	})
	return p, err
}

// autocommit runs one write as a transaction; the result's logPosition is that of
// the commit.
func (s *Server) autocommit(ctx context.Context, st *standinv1.Statement) (*result, error) {
	var p position.Position
	res, err := s.store.autocommit(ctx, st, func() error {
		var err error
		p, err = s.appendRecord([]*standinv1.Statement{st})
		return err
	})
	if err != nil {
		return nil, err
	}
	res.logPosition = p
	return res, nil
}

// acquireSlot waits for one of the server's slots, then for the service time. The
// slot is held until release is called.
func (s *Server) acquireSlot(ctx context.Context) (release func(), err error) {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, errCancelled
	}
	pause.For(ctx, s.groupConfig.ServiceTime)
	s.gate.wait(ctx.Done())
	return func() { <-s.slots }, nil
}

// pgSleep sleeps for the time that the statement's call of pg_sleep, if any, requests.
func pgSleep(ctx context.Context, sql string, arguments []*standinv1.Value) error {
	match := sleepPattern.FindStringSubmatch(sql)
	if match == nil {
		return nil
	}
	seconds, err := strconv.ParseFloat(match[1], 64)
	if number := parameterNumber(match[1]); err != nil && number >= 1 && number <= len(arguments) {
		seconds = secondsOf(arguments[number-1])
	}
	pause.For(ctx, time.Duration(seconds*float64(time.Second)))
	if ctx.Err() != nil {
		return errCancelled
	}
	return nil
}

func secondsOf(v *standinv1.Value) float64 {
	switch kind := v.GetKind().(type) {
	case *standinv1.Value_Integer:
		return float64(kind.Integer)
	case *standinv1.Value_Real:
		return kind.Real
	case *standinv1.Value_Text:
		seconds, _ := strconv.ParseFloat(kind.Text, 64)
		return seconds
	}
	return 0
}

// BusySlots returns the number of slots in use.
func (s *Server) BusySlots() int { return len(s.slots) }
