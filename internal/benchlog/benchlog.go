// Package benchlog reads the benchmark's journal, the entries of journal/: the commit and
// score of each run, and the net value and largest prices of each of its days.
package benchlog

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// Entry is one benchmark run. The benchmark defines the JSON names.
type Entry struct {
	ID      string   `json:"id"`
	At      []string `json:"at"` // start and end, RFC 3339
	Command string   `json:"cmd"`
	Reason  string   `json:"why"`
	Head    string   `json:"head"`
	// Dirty is true if the working tree differed from the commit Head.
	Dirty bool     `json:"dirty"`
	Site  string   `json:"site"`
	OK    bool     `json:"ok"`
	Score *float64 `json:"score"`
	Days  []Day    `json:"days"`
}

// Day holds the results of one day of a run.
type Day struct {
	Name string `json:"name"`
	// NetValue is the value delivered to callers minus the prices, as a fraction of the
	// value due.
	NetValue float64 `json:"G"`
	Served   float64 `json:"served"`
	Refused  float64 `json:"refused"`
	Failed   float64 `json:"failed"`
	// Rules holds the violated rules by name.
	Rules map[string]any `json:"rules"`
	// Prices holds rows of name, amount and cost.
	Prices [][3]any `json:"prices"`
}

// Price is the cost of one item of a day, in the unit of Day.NetValue.
type Price struct {
	Name string
	Cost float64
}

// StartTime returns the start of the run, or the zero time if it is missing or invalid.
func (e Entry) StartTime() time.Time {
	if len(e.At) == 0 {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339, e.At[0])
	if err != nil {
		return time.Time{} // sorts first
	}
	return t
}

// LargestPrices returns up to n of the day's prices above 0, largest first.
func (d Day) LargestPrices(n int) []Price {
	var out []Price
	for _, row := range d.Prices {
		name, _ := row[0].(string)
		cost, _ := row[2].(float64)
		if cost > 0 {
			out = append(out, Price{Name: name, Cost: cost})
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].Cost > out[b].Cost })
	return out[:min(n, len(out))]
}

// Read reads all entries in a directory and returns them oldest first. The error names the
// file that could not be read or decoded, or the directory if it holds no entries.
func Read(dir string) ([]Entry, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, errors.Newf("%s holds no entries (*.json): give the journal's directory", dir)
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
