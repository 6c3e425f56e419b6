package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/csv"
	"encoding/hex"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Columns is the header of a sheet.
var Columns = []string{"day", "team", "service", "limit", "unit"}

// MaxSheetBytes bounds the size of a sheet. 1,100 teams by 18 models by both units take
// about 2.4 MB.
const MaxSheetBytes = 8 << 20

// maxFaults bounds the faults that one check reports.
const maxFaults = 200

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Row is one limit in a sheet.
type Row struct {
	// Line is the line number in the file; the header is line 1.
	Line  int      `json:"line"`
	Key   LimitKey `json:"key"`
	Value uint64   `json:"value"`
}

// Sheet is a parsed morning sheet without faults.
type Sheet struct {
	File string `json:"file"`
	Day  Day    `json:"day"`
	Rows []Row  `json:"rows"`
	// Hash is the hex SHA-256 of the day and the sorted rows, so the order of rows in
	// the file does not matter.
	Hash string `json:"hash"`
}

// Fault describes one error in a sheet.
type Fault struct {
	File string `json:"file"`
	// Row is the line number in the file: 1 for the header, 0 for the file itself.
	Row     int    `json:"row"`
	Column  string `json:"column,omitempty"`
	Problem string `json:"wrong"`
	// Want describes the expected content.
	Want string `json:"want"`
}

// String formats the fault on one line.
func (f Fault) String() string {
	location := f.File
	if f.Row > 0 {
		location += ":" + strconv.Itoa(f.Row)
	}
	if f.Column != "" {
		location += ", column " + f.Column
	}
	return location + ": " + f.Problem + "; want " + f.Want
}

// ParseSheet parses a sheet and reports all faults at once, up to maxFaults. The returned
// sheet is valid only if there are none.
func ParseSheet(file string, data []byte) (Sheet, []Fault) {
	p := &sheetParser{sheet: Sheet{File: file}, seen: map[LimitKey]int{}}
	p.parse(data)
	if len(p.faults) > 0 {
		return Sheet{}, p.faults
	}
	p.sheet.Hash = hashSheet(p.sheet)
	return p.sheet, nil
}

type sheetParser struct {
	sheet   Sheet
	faults  []Fault
	seen    map[LimitKey]int
	dayLine int
}

func (p *sheetParser) addFault(row int, column, problem, want string) {
	if len(p.faults) < maxFaults {
		p.faults = append(p.faults, Fault{File: p.sheet.File, Row: row, Column: column, Problem: problem, Want: want})
	}
}

func (p *sheetParser) parse(data []byte) {
	if len(data) > MaxSheetBytes {
		p.addFault(0, "", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxSheetBytes))
		return
	}
	reader := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte("\ufeff"))))
	reader.FieldsPerRecord = -1
	if !p.header(reader) {
		return
	}
	for p.line(reader) {
	}
	if len(p.sheet.Rows) == 0 && len(p.faults) == 0 {
		p.addFault(0, "", "no rows", "a row for each limit under the header")
	}
}

func (p *sheetParser) header(reader *csv.Reader) bool {
	want := "the header " + strings.Join(Columns, ",")
	fields, err := reader.Read()
	if errors.Is(err, io.EOF) {
		p.addFault(0, "", "an empty file", want)
		return false
	}
	if err != nil {
		p.addCSVFault(err)
		return false
	}
	for i := range fields {
		fields[i] = strings.ToLower(strings.TrimSpace(fields[i]))
	}
	if !slices.Equal(fields, Columns) {
		p.addFault(1, "", fmt.Sprintf("header %.80q", strings.Join(fields, ",")), want)
		return false
	}
	return true
}

// line reads one record and reports whether more may follow.
func (p *sheetParser) line(reader *csv.Reader) bool {
	fields, err := reader.Read()
	if errors.Is(err, io.EOF) {
		return false
	}
	if err != nil {
		p.addCSVFault(err)
		return false
	}
	line, _ := reader.FieldPos(0)
	if len(fields) != len(Columns) {
		p.addFault(line, "", fmt.Sprintf("%d fields", len(fields)), strconv.Itoa(len(Columns))+" fields: "+strings.Join(Columns, ","))
		return true
	}
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	p.row(line, fields)
	return true
}

func (p *sheetParser) addCSVFault(err error) {
	parseErr := &csv.ParseError{}
	if errors.As(err, &parseErr) {
		p.addFault(parseErr.Line, "", parseErr.Err.Error(), "comma-separated fields, quotes closed on their own line")
		return
	}
	p.addFault(0, "", err.Error(), "a readable file")
}

func (p *sheetParser) row(line int, fields []string) {
	before := len(p.faults)
	p.day(line, fields[0])
	p.name(line, "team", fields[1])
	p.name(line, "service", fields[2])
	value := p.value(line, fields[3])
	p.unit(line, fields[4])
	if len(p.faults) > before {
		return
	}
	key := LimitKey{Team: ident.Team(fields[1]), Service: ident.Service(fields[2]), Unit: Unit(fields[4])}
	if first, ok := p.seen[key]; ok {
		p.addFault(line, "limit", fmt.Sprintf("%s stands already in row %d", key, first), "one row for each team, service and unit")
		return
	}
	p.seen[key] = line
	p.sheet.Rows = append(p.sheet.Rows, Row{Line: line, Key: key, Value: value})
}

func (p *sheetParser) day(line int, text string) {
	if _, err := time.Parse(time.DateOnly, text); err != nil {
		p.addFault(line, "day", fmt.Sprintf("%.40q", text), "a day such as 2026-12-04")
		return
	}
	if p.sheet.Day == "" {
		p.sheet.Day = Day(text)
		p.dayLine = line
		return
	}
	if Day(text) != p.sheet.Day {
		p.addFault(line, "day", fmt.Sprintf("%q", text), fmt.Sprintf("%s as in row %d: a sheet is for one day", p.sheet.Day, p.dayLine))
	}
}

func (p *sheetParser) name(line int, column, text string) {
	if !namePattern.MatchString(text) {
		p.addFault(line, column, fmt.Sprintf("%.80q", text), "1 to 64 letters, digits, dots, dashes or underscores")
	}
}

func (p *sheetParser) value(line int, text string) uint64 {
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil || value == 0 || value > MaxLimit {
		p.addFault(line, "limit", fmt.Sprintf("%.40q", text), fmt.Sprintf("a whole number from 1 to %d without separators", MaxLimit))
		return 0
	}
	return value
}

func (p *sheetParser) unit(line int, text string) {
	if !slices.Contains(Units, Unit(text)) {
		p.addFault(line, "unit", fmt.Sprintf("%.40q", text), "requests/s or tokens/s")
	}
}

func hashSheet(sheet Sheet) string {
	rows := slices.Clone(sheet.Rows)
	slices.SortFunc(rows, func(a, b Row) int { return a.Key.Compare(b.Key) })
	h := sha256.New()
	fmt.Fprintln(h, sheet.Day)
	for _, row := range rows {
		fmt.Fprintf(h, "%s,%s,%d,%s\n", row.Key.Team, row.Key.Service, row.Value, row.Key.Unit)
	}
	return hex.EncodeToString(h.Sum(nil))
}
