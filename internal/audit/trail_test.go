package audit

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed

	"github.com/catkinstair/catkinstair/internal/ident"
)

// TestEveryRecordIsStoredOnceOrCounted appends records while writes fail or lose their
// replies. In the end the service must hold each record once and in order, or a count of
// the dropped records. The length of Who numbers the records.
func TestEveryRecordIsStoredOnceOrCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig(ident.Instance{VM: "a", Incarnation: 1})
		cfg.MaxBatchBytes = 1024
		cfg.MaxPending = rapid.IntRange(1, 40).Draw(t, "pending")
		trail, err := New(cfg)
		require.NoError(t, err)
		stored := map[string]string{}
		var keys []string
		now := time.Duration(0)
		serve := func(actions []Action, healthy bool) {
			for len(actions) > 0 {
				write := actions[0].(WriteBatch)
				outcome := 0 // 0: stored, 1: stored but the reply is lost, 2: not stored
				if !healthy {
					outcome = rapid.IntRange(0, 2).Draw(t, "outcome")
				}
				if outcome < 2 {
					if _, ok := stored[write.Key]; !ok {
						keys = append(keys, write.Key)
					}
					stored[write.Key] = write.Lines
				}
				if outcome == 0 {
					actions = trail.Step(now, BatchWritten{Key: write.Key})
				} else {
					actions = trail.Step(now, BatchFailed{Key: write.Key})
				}
			}
		}
		total := rapid.IntRange(1, 120).Draw(t, "records")
		for i := range total {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * time.Millisecond
			who := strings.Repeat("x", i+1)
			serve(trail.Step(now, Append{Record: Record{When: time.Unix(int64(i), 0), Who: who}}), false)
		}
		for range 200 {
			now += 10 * time.Second
			serve(trail.Step(now, Tick{}), true)
		}
		require.True(t, trail.Idle())
		lastNumber, seen, dropped := 0, 0, false
		for _, key := range keys {
			records, err := Parse(stored[key])
			require.NoError(t, err)
			for _, record := range records {
				if record.What == "audit.dropped" {
					dropped = true
					continue
				}
				require.Greater(t, len(record.Who), lastNumber)
				lastNumber = len(record.Who)
				seen++
			}
		}
		require.Equal(t, seen < total, dropped)
	})
}

func FuzzParse(f *testing.F) {
	f.Add("{\"who\":\"kari\",\"when\":\"2026-12-04T06:00:00Z\"}\n{}")
	f.Fuzz(func(_ *testing.T, lines string) { _, _ = Parse(lines) })
}
