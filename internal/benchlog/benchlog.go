// Package benchlog reads the entries of journal/, which the users' bench leaves, and
// says what each round won: scores, the worth of each day and its largest prices, by
// commit.
package benchlog

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// Entry is one run of the bench. Its field names are the bench's.
type Entry struct {
	ID      string   `json:"id"`
	At      []string `json:"at"` // begin and end
	Command string   `json:"cmd"`
	Why     string   `json:"why"`
	Head    string   `json:"head"`
	// Dirty says that the sources were not those of Head.
	Dirty bool     `json:"dirty"`
	Site  string   `json:"site"`
	OK    bool     `json:"ok"`
	Score *float64 `json:"score"`
	Days  []Day    `json:"days"`
}

// Day is one day of a run.
type Day struct {
	Name string `json:"name"`
	// Worth is what callers got less the prices, as a part of what was owed.
	Worth   float64 `json:"G"`
	Served  float64 `json:"served"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	// Rules holds the broken ones.
	Rules map[string]any `json:"rules"`
	// Prices are rows of name, amount and worth.
	Prices [][3]any `json:"prices"`
}

// Price is one line of a day's price list.
type Price struct {
	Name  string
	Worth float64
}

// Begin is when the run began; the zero time where the entry does not say.
func (e Entry) StartTime() time.Time {
	if len(e.At) == 0 {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339, e.At[0])
	if err != nil {
		return time.Time{} // such an entry comes first
	}
	return t
}

// Largest returns the n largest prices of a day.
func (d Day) LargestPrices(n int) []Price {
	var out []Price
	for _, row := range d.Prices {
		name, _ := row[0].(string)
		worth, _ := row[2].(float64)
		if worth > 0 {
			out = append(out, Price{Name: name, Worth: worth})
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].Worth > out[b].Worth })
	return out[:min(n, len(out))]
}

// Read reads all entries of a directory, oldest first. The error names the file that
// can't be read.
func Read(dir string) ([]Entry, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, errors.Newf("%s holds no entries; give the journal's directory", dir)
	}
	var out []Entry
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var e Entry
		if err := json.Unmarshal(text, &e); err != nil {
			return nil, errors.Wrapf(err, "%s", file)
		}
		out = append(out, e)
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].StartTime().Before(out[b].StartTime()) })
	return out, nil
}
