package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// PartCount is the number of parts of a version. A limit belongs to the part
// hash(team, service) modulo PartCount, so a change of one limit rewrites one
// part and leaves the others, with their hashes, as they are.
const PartCount = 64

// PartHash is the content address of a part: 32 hex digits of its SHA-256.
type PartHash string

// Head is the record that says which version is in force. It is replaced by
// compare-and-swap alone.
type Head struct {
	// Version counts accepted changes; zero means that nothing was accepted.
	Version uint64 `json:"version"`
	Day     Day    `json:"day"`
	// Parts holds PartCount hashes; an empty part has an empty hash.
	Parts     []PartHash `json:"parts"`
	SheetHash string     `json:"sheet_hash"`
	Operator  string     `json:"operator"`
	// Recent lists the last sheets that were accepted, newest first, so that an
	// operator whose reply was lost finds out although others went on.
	Recent []Accepted `json:"recent,omitempty"`
	// Retired lists parts that are no longer in force, for deletion.
	Retired []RetiredPart `json:"retired,omitempty"`
}

// Accepted is one sheet that was accepted.
type Accepted struct {
	SheetHash string `json:"sheet_hash"`
	Version   uint64 `json:"version"`
	Operator  string `json:"operator"`
}

// RetiredPart is a part that left force with Version.
type RetiredPart struct {
	Hash    PartHash `json:"hash"`
	Version uint64   `json:"version"`
}

// ErrPart is returned for a part that can't be decoded.
var ErrPart = errors.New("damaged configuration part")

// HashPart is the content address of text.
func HashPart(text string) PartHash {
	if text == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(text))
	return PartHash(hex.EncodeToString(sum[:16]))
}

// PartIndex is the part that a limit belongs to.
func PartIndex(key LimitKey) int {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(key.Team))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(string(key.Service))
	return int(d.Sum64() % PartCount)
}

// EncodeParts writes the state as PartCount canonical texts, one line for each
// limit: team,service,unit,value,day of the last raise.
func EncodeParts(state State) []string {
	builders := make([]strings.Builder, PartCount)
	for _, key := range state.Keys() {
		limit := state.limits[key]
		b := &builders[PartIndex(key)]
		for _, field := range []string{string(key.Team), string(key.Service), string(key.Unit), strconv.FormatUint(limit.Value, 10)} {
			b.WriteString(field)
			b.WriteByte(',')
		}
		b.WriteString(string(limit.RaisedOn))
		b.WriteByte('\n')
	}
	parts := make([]string, PartCount)
	for i := range builders {
		parts[i] = builders[i].String()
	}
	return parts
}

// DecodeParts reads the state that EncodeParts wrote.
func DecodeParts(parts []string) (State, error) {
	limits := map[LimitKey]Limit{}
	for i, text := range parts {
		for line := range strings.Lines(text) {
			if err := decodeLine(limits, strings.TrimSuffix(line, "\n")); err != nil {
				return State{}, errors.Wrapf(err, "part %d", i)
			}
		}
	}
	return State{limits: limits}, nil
}

func decodeLine(limits map[LimitKey]Limit, line string) error {
	fields := strings.Split(line, ",")
	if len(fields) != 5 {
		return errors.Wrapf(ErrPart, "%.80q has %d fields, want 5", line, len(fields))
	}
	value, err := strconv.ParseUint(fields[3], 10, 64)
	if err != nil || value == 0 || value > MaxLimit {
		return errors.Wrapf(ErrPart, "limit %.40q, want a whole number from 1 to %d", fields[3], MaxLimit)
	}
	if !slices.Contains(Units, Unit(fields[2])) {
		return errors.Wrapf(ErrPart, "unit %.40q", fields[2])
	}
	key := LimitKey{Team: ident.Team(fields[0]), Service: ident.Service(fields[1]), Unit: Unit(fields[2])}
	limits[key] = Limit{Value: value, RaisedOn: Day(fields[4])}
	return nil
}

// Snapshot is one whole version: its head and the texts of its parts.
type Snapshot struct {
	Head  Head     `json:"head"`
	Parts []string `json:"parts"`
	State State    `json:"-"`
}

// Assemble builds a snapshot from a head and texts by hash. It checks every
// text against its hash.
func Assemble(head Head, texts map[PartHash]string) (Snapshot, error) {
	if len(head.Parts) != PartCount {
		return Snapshot{}, errors.Wrapf(ErrPart, "head names %d parts, want %d", len(head.Parts), PartCount)
	}
	parts := make([]string, PartCount)
	for i, hash := range head.Parts {
		if hash == "" {
			continue
		}
		text, ok := texts[hash]
		if !ok || HashPart(text) != hash {
			return Snapshot{}, errors.Wrapf(ErrPart, "part %d: text does not match %s", i, hash)
		}
		parts[i] = text
	}
	state, err := DecodeParts(parts)
	if err != nil {
		return Snapshot{}, err
	}
	return Snapshot{Head: head, Parts: parts, State: state}, nil
}

// Texts returns the snapshot's parts by hash.
func (s Snapshot) Texts() map[PartHash]string {
	texts := make(map[PartHash]string, len(s.Parts))
	for i, hash := range s.Head.Parts {
		if hash != "" {
			texts[hash] = s.Parts[i]
		}
	}
	return texts
}

// Lacking lists the hashes of head that texts does not hold, without repeats.
func Lacking(head Head, texts map[PartHash]string) []PartHash {
	var lacking []PartHash
	for _, hash := range head.Parts {
		if hash == "" || slices.Contains(lacking, hash) {
			continue
		}
		if _, ok := texts[hash]; !ok {
			lacking = append(lacking, hash)
		}
	}
	return lacking
}
