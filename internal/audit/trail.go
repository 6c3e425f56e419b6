package audit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Prefix starts the keys of the trail in the key-value service.
const Prefix = "audit/"

// Record is one change, made or refused.
type Record struct {
	// When is the wall clock of the VM that took the change.
	When time.Time `json:"when"`
	// Who is the operator's name, or the VM's where the system acted itself.
	Who string `json:"who"`
	// What is the kind of change, for example "sheet.apply" or "vm.drain".
	What string `json:"what"`
	// Object is what was changed, for example "clubs/skrivar in tokens/s".
	Object string `json:"object,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	// SheetHash names the sheet that the change came from.
	SheetHash string `json:"sheet_hash,omitempty"`
	// Verdict says how it ended, for example "accepted" or "refused".
	Verdict string `json:"verdict"`
	Detail  string `json:"detail,omitempty"`
}

// Config sets one VM's trail.
type Config struct {
	Self ident.Instance `json:"self"`
	// BatchEvery is the longest wait of a record before it is written. Default
	// 2 s.
	BatchInterval time.Duration `json:"batch_every_ns"`
	// MaxBatchBytes bounds a batch, in bytes of JSON lines. Default 256 KB.
	MaxBatchBytes int `json:"max_batch_bytes"`
	// MaxPending bounds the records that wait to be written. Default 5,000.
	MaxPending int `json:"max_pending"`
	// RetryWait is the wait after a failed write. Default 5 s.
	RetryWait time.Duration `json:"retry_wait_ns"`
}

// DefaultConfig returns the defaults for one VM.
func DefaultConfig(self ident.Instance) Config {
	return Config{Self: self, BatchInterval: 2 * time.Second, MaxBatchBytes: 256 << 10, MaxPending: 5000, RetryWait: 5 * time.Second}
}

// Validate names every faulty field.
func (c Config) Validate() error {
	var err error
	fault := func(bad bool, format string, args ...any) {
		if bad {
			err = errors.Join(err, errors.Newf(format, args...))
		}
	}
	fault(c.Self.VM == "", "Self.VM is empty, want the VM's name")
	fault(c.BatchInterval <= 0, "BatchEvery is %s, want more than 0", c.BatchInterval)
	fault(c.MaxBatchBytes < 1024, "MaxBatchBytes is %d, want 1024 or more", c.MaxBatchBytes)
	fault(c.MaxPending < 1, "MaxPending is %d, want 1 or more", c.MaxPending)
	fault(c.RetryWait <= 0, "RetryWait is %s, want more than 0", c.RetryWait)
	return err
}

// Event is an input of Trail.
type Event interface{ isEvent() }

// Append adds a record.
type Append struct {
	Record Record `json:"record"`
}

// BatchWritten answers WriteBatch: the batch is stored.
type BatchWritten struct {
	Key string `json:"key"`
}

// BatchFailed answers WriteBatch: the service is down, or the reply was lost.
type BatchFailed struct {
	Key string `json:"key"`
}

// Tick lets time pass.
type Tick struct{}

func (Append) isEvent()       {}
func (BatchWritten) isEvent() {}
func (BatchFailed) isEvent()  {}
func (Tick) isEvent()         {}

// Action is an output of Trail.
type Action interface{ isAction() }

// WriteBatch stores Lines under Key, whatever is there.
type WriteBatch struct {
	Key   string `json:"key"`
	Lines string `json:"lines"`
}

func (WriteBatch) isAction() {}

// batch is what is being written. It keeps its key and lines until it is stored.
type batch struct {
	key, lines string
	asked      bool
	again      time.Duration
}

// Trail batches the records of one VM.
type Trail struct {
	cfg     Config
	pending []Record
	oldest  time.Duration
	dropped int
	batch   *batch
	serial  uint64
}

// New returns an empty trail.
func New(cfg Config) (*Trail, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Trail{cfg: cfg}, nil
}

// Pending is the number of records that no batch holds yet.
func (t *Trail) Pending() int { return len(t.pending) }

// Idle reports whether every record is stored.
func (t *Trail) Idle() bool { return len(t.pending) == 0 && t.batch == nil }

// Step takes one event.
func (t *Trail) Step(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case Append:
		t.append(now, ev.Record)
	case BatchWritten:
		if t.batch != nil && t.batch.key == ev.Key {
			t.batch = nil
		}
	case BatchFailed:
		if t.batch != nil && t.batch.key == ev.Key {
			t.batch.asked = false
			t.batch.again = now + t.cfg.RetryWait
		}
	case Tick:
	}
	return t.write(now)
}

func (t *Trail) append(now time.Duration, record Record) {
	if len(t.pending) == 0 {
		t.oldest = now
	}
	if len(t.pending) >= t.cfg.MaxPending {
		t.pending = t.pending[1:]
		t.dropped++
	}
	t.pending = append(t.pending, record)
}

func (t *Trail) write(now time.Duration) []Action {
	if t.batch == nil && len(t.pending) > 0 && now-t.oldest >= t.cfg.BatchInterval {
		t.fill(now)
	}
	if t.batch == nil || t.batch.asked || now < t.batch.again {
		return nil
	}
	t.batch.asked = true
	return []Action{WriteBatch{Key: t.batch.key, Lines: t.batch.lines}}
}

// fill moves as many records into a batch as it holds.
func (t *Trail) fill(now time.Duration) {
	first := t.pending[0].When
	var lines bytes.Buffer
	if t.dropped > 0 {
		t.line(&lines, Record{
			When: first, Who: t.cfg.Self.String(), What: "audit.dropped", Verdict: "lost",
			Detail: fmt.Sprintf("%d records were dropped while the key-value service was down", t.dropped),
		})
		t.dropped = 0
	}
	taken := 0
	for taken < len(t.pending) && (taken == 0 || lines.Len() < t.cfg.MaxBatchBytes) {
		t.line(&lines, t.pending[taken])
		taken++
	}
	t.pending = t.pending[taken:]
	t.oldest = now
	t.serial++
	t.batch = &batch{key: BatchKey(first, t.cfg.Self, t.serial), lines: lines.String()}
}

func (t *Trail) line(to *bytes.Buffer, record Record) {
	text, err := json.Marshal(record)
	if err != nil {
		t.dropped++
		return
	}
	to.Write(text)
	to.WriteByte('\n')
}

// BatchKey orders batches by the time of their first record.
func BatchKey(first time.Time, self ident.Instance, serial uint64) string {
	return fmt.Sprintf("%s%s/%s/%d", Prefix, first.UTC().Format("2006-01-02T15:04:05.000"), self, serial)
}

// Parse reads the records of a batch.
func Parse(lines string) ([]Record, error) {
	var records []Record
	decoder := json.NewDecoder(bytes.NewReader([]byte(lines)))
	for decoder.More() {
		var record Record
		if err := decoder.Decode(&record); err != nil {
			return records, errors.Wrapf(err, "audit record %d", len(records)+1)
		}
		records = append(records, record)
	}
	return records, nil
}
