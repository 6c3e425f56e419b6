package benchlog

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const entry = `{"id":"b","at":["2026-12-04T04:51:27Z","2026-12-04T04:51:49Z"],"cmd":"score","why":"w","head":"0de6ded8","site":"s","ok":true,"score":0.9,
"days":[{"name":"quiet-1","G":0.915,"served":0.999,"rules":{},"prices":[["machine-seconds",324.0,0.0127],["none",-0.0,-0.0],["calls",304.0,0.0143]]}]}`

func TestReadSortsEntriesAndLargestPrices(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "1.json"), []byte(entry), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "2.json"), []byte(`{"id":"a","at":["2026-12-04T02:00:00Z",""],"cmd":"run","score":null}`), 0o600))
	entries, err := Read(dir)
	require.NoError(t, err)
	require.Equal(t, []string{"a", "b"}, []string{entries[0].ID, entries[1].ID})
	require.Nil(t, entries[0].Score)
	require.InDelta(t, 0.9, *entries[1].Score, 1e-9)
	require.Equal(t, []Price{{"calls", 0.0143}, {"machine-seconds", 0.0127}}, entries[1].Days[0].LargestPrices(5))
}

func TestReadErrorNamesFile(t *testing.T) {
	dir := t.TempDir()
	_, err := Read(dir)
	require.ErrorContains(t, err, "holds no entries")
	require.NoError(t, os.WriteFile(filepath.Join(dir, "1.json"), []byte("{"), 0o600))
	_, err = Read(dir)
	require.ErrorContains(t, err, "1.json")
}
