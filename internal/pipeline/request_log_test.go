package pipeline

import (
	"context"
	"io"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

var errOverRate = verdict.New(verdict.NotRun, verdict.CodeConfigurationLimit, "the organisation is beyond its rate")

// TestFloodOfRefusalsIsBounded checks that the log lines of a flood of refusals are limited,
// that dropped lines are counted and reported, and that no request waits for the log.
func TestFloodOfRefusalsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.admission.refusal = errOverRate
		s := f.open("own")
		const seconds, perSecond = 10, 2000
		for n := range seconds * perSecond {
			began := time.Now()
			s.Handle(t.Context(), readOf(strconv.Itoa(n)))
			require.Zero(t, time.Since(began), "a refusal waits")
			time.Sleep(time.Second / perSecond)
		}
		lines := f.logged.FilterField(eventField(event.RequestRefused.Number)).Len()
		require.LessOrEqual(t, lines, lineBurst+seconds*linesPerSecond+1)
		require.GreaterOrEqual(t, lines, lineBurst)
		reports := f.logged.FilterField(eventField(event.LinesDropped.Number)).Len()
		require.LessOrEqual(t, reports, seconds+1)
		require.Positive(t, reports)
		dropped := f.cfg.Metrics.Labelled("pipeline_lines_dropped_total").Get(event.RequestRefused.Name).String()
		require.Equal(t, strconv.Itoa(seconds*perSecond-lines), dropped)
	})
}

// BenchmarkRefusedRequest measures the cost of a refused request with its log line written
// and with logging off.
func BenchmarkRefusedRequest(b *testing.B) {
	for name, core := range map[string]zapcore.Core{
		"log": zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(io.Discard), zap.InfoLevel),
		"off": zapcore.NewNopCore(),
	} {
		b.Run(name, func(b *testing.B) {
			f := newFixture(b)
			f.admission.refusal = errOverRate
			f.requestLog.log = zap.New(core)
			for _, limit := range f.requestLog.lineLimiters {
				limit.SetLimit(1 << 30)
				limit.SetBurst(1 << 30)
			}
			s := f.open("own")
			b.ResetTimer()
			for range b.N {
				s.Handle(context.Background(), readOf("1"))
			}
		})
	}
}
