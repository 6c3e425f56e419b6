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

// PartCount is the number of parts of a version. A limit belongs to part hash(team,
// service) modulo PartCount, so changing one limit rewrites one part; the other parts and
// their hashes stay the same.
const PartCount = 64

// PartHash is the content address of a part: the first 32 hex digits of its SHA-256.
type PartHash string

// Head is the record of the version in force. It is replaced only by compare-and-swap.
type Head struct {
	// Version counts accepted changes; zero means that none was accepted yet.
	Version uint64 `json:"version"`
	Day     Day    `json:"day"`
	// Parts holds PartCount hashes; the hash of an empty part is empty.
	Parts     []PartHash `json:"parts"`
	SheetHash string     `json:"sheet_hash"`
	Operator  string     `json:"operator"`
	// Recent lists the last accepted sheets, newest first, so that the outcome of a lost
	// reply can be determined even after later versions.
	Recent []AcceptedSheet `json:"recent,omitempty"`
	// Retired lists parts that are no longer in force but not deleted yet.
	Retired []RetiredPart `json:"retired,omitempty"`
}

// AcceptedSheet identifies an accepted sheet.
type AcceptedSheet struct {
	SheetHash string `json:"sheet_hash"`
	Version   uint64 `json:"version"`
	Operator  string `json:"operator"`
}

// RetiredPart is a part that Version and later versions no longer use.
type RetiredPart struct {
	Hash    PartHash `json:"hash"`
	Version uint64   `json:"version"`
}

// ErrDamagedPart is returned if a head or part is malformed or does not match its hash.
var ErrDamagedPart = errors.New("damaged configuration part")

// HashPart returns the content address of text; it is empty for an empty text.
func HashPart(text string) PartHash {
	if text == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(text))
	return PartHash(hex.EncodeToString(sum[:16]))
}

// PartIndex returns the index of the part that a limit belongs to.
func PartIndex(key LimitKey) int {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(key.Team))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(string(key.Service))
	return int(d.Sum64() % PartCount)
}

// encodePart encodes limits as a canonical text with one line per limit in key order:
// team,service,unit,value,day of the last raise.
func encodePart(limits map[LimitKey]Limit) string {
	keys := make([]LimitKey, 0, len(limits))
	for key := range limits {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, LimitKey.Compare)
	var text []byte
	for _, key := range keys {
		limit := limits[key]
		text = append(text, key.Team...)
		text = append(text, ',')
		text = append(text, key.Service...)
		text = append(text, ',')
		text = append(text, key.Unit...)
		text = append(text, ',')
		text = strconv.AppendUint(text, limit.Value, 10)
		text = append(text, ',')
		text = append(text, limit.RaisedOn...)
		text = append(text, '\n')
	}
	return string(text)
}

// decodePart decodes the output of encodePart.
func decodePart(text string) (*part, error) {
	limits := map[LimitKey]Limit{}
	for line := range strings.Lines(text) {
		if err := decodeLine(limits, strings.TrimSuffix(line, "\n")); err != nil {
			return nil, err
		}
	}
	return &part{limits: limits, text: text, hash: HashPart(text)}, nil
}

func decodeLine(limits map[LimitKey]Limit, line string) error {
	fields := strings.Split(line, ",")
	if len(fields) != 5 {
		return errors.Wrapf(ErrDamagedPart, "%.80q has %d fields, want 5", line, len(fields))
	}
	value, err := strconv.ParseUint(fields[3], 10, 64)
	if err != nil || value == 0 || value > MaxLimit {
		return errors.Wrapf(ErrDamagedPart, "limit %.40q, want a whole number from 1 to %d", fields[3], MaxLimit)
	}
	if !slices.Contains(Units, Unit(fields[2])) {
		return errors.Wrapf(ErrDamagedPart, "unit %.40q", fields[2])
	}
	key := LimitKey{Team: ident.Team(fields[0]), Service: ident.Service(fields[1]), Unit: Unit(fields[2])}
	limits[key] = Limit{Value: value, RaisedOn: Day(fields[4])}
	return nil
}

// Snapshot is one complete version: its head and the texts of its parts.
type Snapshot struct {
	Head  Head     `json:"head"`
	Parts []string `json:"parts"`
	State State    `json:"-"`
}

// Assemble builds a snapshot from a head and part texts by hash. It checks every text
// against its hash. Parts that base already contains need no text.
func Assemble(head Head, texts map[PartHash]string, base State) (Snapshot, error) {
	if len(head.Parts) != PartCount {
		return Snapshot{}, errors.Wrapf(ErrDamagedPart, "head names %d parts, want %d", len(head.Parts), PartCount)
	}
	state := State{parts: make([]*part, PartCount)}
	for i, hash := range head.Parts {
		decoded, err := assemblePart(i, hash, texts, base)
		if err != nil {
			return Snapshot{}, errors.Wrapf(err, "part %d", i)
		}
		state.parts[i] = decoded
	}
	return newSnapshot(head, state), nil
}

func assemblePart(i int, hash PartHash, texts map[PartHash]string, base State) (*part, error) {
	if base.part(i).hash == hash {
		return base.part(i), nil
	}
	decoded, err := decodePart(texts[hash])
	if err != nil {
		return nil, err
	}
	if decoded.hash != hash {
		return nil, errors.Wrapf(ErrDamagedPart, "no text matches %s", hash)
	}
	for key := range decoded.limits {
		if PartIndex(key) != i {
			return nil, errors.Wrapf(ErrDamagedPart, "%s belongs to another part", key)
		}
	}
	return decoded, nil
}

func newSnapshot(head Head, state State) Snapshot {
	parts := make([]string, PartCount)
	for i := range parts {
		parts[i] = state.part(i).text
	}
	return Snapshot{Head: head, Parts: parts, State: state}
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

// MissingParts lists the part hashes of head that texts lacks, without duplicates.
func MissingParts(head Head, texts map[PartHash]string) []PartHash {
	var missing []PartHash
	for _, hash := range head.Parts {
		if hash == "" || slices.Contains(missing, hash) {
			continue
		}
		if _, ok := texts[hash]; !ok {
			missing = append(missing, hash)
		}
	}
	return missing
}
