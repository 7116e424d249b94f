package session

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func TestSettings(t *testing.T) {
	cases := []struct{ name, value, want, wantErr string }{
		{SettingFloor, "3/7", "3/7", ""},
		{SettingFloor, "3", "", "hornbeamlock.floor"},
		{SettingFloor, "x/7", "", "malformed term"},
		{SettingMaxStaleness, "500", "500ms", ""},
		{SettingMaxStaleness, "-1s", "", "hornbeamlock.max_staleness"},
		{SettingTimeout, "2s", "2s", ""},
		{SettingTimeout, "0", "", "hornbeamlock.timeout"},
		{SettingIdempotent, "ON", "on", ""},
		{SettingIdempotent, "maybe", "", "hornbeamlock.idempotent"},
		{SettingTraceparent, "junk", "", "hornbeamlock.traceparent"},
		{"hornbeamlock.unknown", "1", "", "no such setting"},
	}
	for _, c := range cases {
		s := New()
		err := s.Set(c.name, c.value, time.Now())
		if c.wantErr != "" {
			require.ErrorContains(t, err, c.wantErr, c.value)
			continue
		}
		require.NoError(t, err)
		got, err := s.Show(c.name)
		require.NoError(t, err)
		require.Equal(t, c.want, got)
		require.NoError(t, s.Reset(c.name))
	}
}

func TestEndpointSettingsFollowTransactions(t *testing.T) {
	s := New()
	s.SetEndpointSetting("work_mem", "'1MB'", false)
	s.SetEndpointSetting("timezone", "'UTC'", true)
	require.Equal(t, "SET work_mem TO '1MB';", s.EndpointSettings())
	s.EndTransaction(false)
	require.Equal(t, "SET work_mem TO '1MB';", s.EndpointSettings())
	s.SetEndpointSetting("timezone", "'UTC'", true)
	s.EndTransaction(true)
	require.Equal(t, "SET timezone TO 'UTC';SET work_mem TO '1MB';", s.EndpointSettings())
	s.ResetEndpointSetting("work_mem")
	require.Equal(t, "SET timezone TO 'UTC';", s.EndpointSettings())
	s.ResetEndpointSetting("")
	require.Empty(t, s.EndpointSettings())
}

// TestFloorNeverFalls checks that no sequence of commits and reads lowers the floor,
// and that the token covers every commit.
func TestFloorNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var floor Floor
		draw := func() position.Position {
			return position.Position{Term: rapid.Uint64Range(1, 3).Draw(t, "term"), Offset: rapid.Uint64Range(0, 9).Draw(t, "offset")}
		}
		t.Repeat(map[string]func(*rapid.T){
			"commit": func(t *rapid.T) {
				p := draw()
				floor.RaiseWritten(p, time.Time{})
				token, err := ParseToken(floor.Token())
				require.NoError(t, err)
				require.False(t, token.Less(p))
			},
			"see": func(t *rapid.T) {
				before := floor
				floor.ObserveRead(draw(), rapid.Bool().Draw(t, "at a replica"), time.Time{})
				require.Equal(t, before.Known, floor.Known)
				require.False(t, floor.MinPosition().Less(before.MinPosition()))
				require.Equal(t, before.Written, floor.Written)
			},
			"doubt": func(*rapid.T) {
				before := floor.MinPosition()
				floor.MarkUnknown()
				require.Empty(t, floor.Token())
				require.Equal(t, before, floor.MinPosition())
			},
			"index": func(t *rapid.T) {
				written := floor.Written
				floor.Index(draw(), time.Time{})
				require.False(t, floor.MinPosition().Less(written))
			},
		})
	})
}

func FuzzParseToken(f *testing.F) {
	for _, seed := range []string{"1/2", "/", "1/", "-1/2", "18446744073709551616/0"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		p, err := ParseToken(text)
		if err != nil {
			require.ErrorContains(t, err, SettingFloor)
			return
		}
		again, err := ParseToken(p.String())
		require.NoError(t, err)
		require.Equal(t, p, again)
	})
}
