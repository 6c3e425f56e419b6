package audit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Prefix is the key prefix of the audit trail in the key-value service.
const Prefix = "audit/"

// Record describes one change, accepted or refused.
type Record struct {
	// When is the wall-clock time on the VM that handled the change.
	When time.Time `json:"when"`
	// Who is the operator's name, or the VM's name for an action of the system itself.
	Who string `json:"who"`
	// What is the kind of change, for example "sheet.apply" or "vm.drain".
	What string `json:"what"`
	// Object names the changed object, for example "clubs/skrivar in tokens/s".
	Object string `json:"object,omitempty"`
	// Before and After are the object's values before and after the change.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	// SheetHash is the hash of the sheet that contained the change.
	SheetHash string `json:"sheet_hash,omitempty"`
	// Verdict is the result, for example "accepted" or "refused".
	Verdict string `json:"verdict"`
	Detail  string `json:"detail,omitempty"`
}

// Config configures the audit trail of one VM.
type Config struct {
	Self ident.Instance `json:"self"`
	// BatchInterval is how long records are collected before a batch is written. Default
	// 2 s.
	BatchInterval time.Duration `json:"batch_every_ns"`
	// MaxBatchBytes is the size of a batch, in bytes of JSON lines, from which no record is
	// added; the last one may exceed it. Default 256 KiB.
	MaxBatchBytes int `json:"max_batch_bytes"`
	// MaxPending bounds the number of records queued for writing. Default 5,000.
	MaxPending int `json:"max_pending"`
	// RetryWait is the delay before a failed write is retried. Default 5 s.
	RetryWait time.Duration `json:"retry_wait_ns"`
}

// DefaultConfig returns the default configuration for the VM self.
func DefaultConfig(self ident.Instance) Config {
	return Config{Self: self, BatchInterval: 2 * time.Second, MaxBatchBytes: 256 << 10, MaxPending: 5000, RetryWait: 5 * time.Second}
}

// Validate returns an error that lists every invalid field.
func (c Config) Validate() error {
	var err error
	check := func(invalid bool, format string, args ...any) {
		if invalid {
			err = errors.Join(err, errors.Newf(format, args...))
		}
	}
	check(c.Self.VM == "", "Self.VM must not be empty: set it to the VM's name")
	check(c.BatchInterval <= 0, "BatchInterval is %s, must be positive", c.BatchInterval)
	check(c.MaxBatchBytes < 1024, "MaxBatchBytes is %d, must be at least 1024", c.MaxBatchBytes)
	check(c.MaxPending < 1, "MaxPending is %d, must be at least 1", c.MaxPending)
	check(c.RetryWait <= 0, "RetryWait is %s, must be positive", c.RetryWait)
	return err
}

// Event is an input of Trail.
type Event interface{ isEvent() }

// Append adds a record to the trail.
type Append struct {
	Record Record `json:"record"`
}

// BatchWritten reports that the batch of a WriteBatch is stored.
type BatchWritten struct {
	Key string `json:"key"`
}

// BatchFailed reports that a WriteBatch failed: the service is down, or the reply was
// lost and the batch may be stored.
type BatchFailed struct {
	Key string `json:"key"`
}

// Tick advances time.
type Tick struct{}

func (Append) isEvent()       {}
func (BatchWritten) isEvent() {}
func (BatchFailed) isEvent()  {}
func (Tick) isEvent()         {}

// Action is an output of Trail.
type Action interface{ isAction() }

// WriteBatch stores Lines under Key unconditionally, overwriting any value.
type WriteBatch struct {
	Key   string `json:"key"`
	Lines string `json:"lines"`
}

func (WriteBatch) isAction() {}

// batch is the batch being written. A retry writes the same lines under the same key.
type batch struct {
	key, lines string
	inFlight   bool
	retryAt    time.Duration
}

// Trail batches the records of one VM and retries failed writes.
type Trail struct {
	cfg          Config
	pending      []Record
	pendingSince time.Duration
	dropped      int
	batch        *batch
	batchSerial  uint64
}

// New returns an empty trail.
func New(cfg Config) (*Trail, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Trail{cfg: cfg}, nil
}

// Pending returns the number of records that no batch contains yet.
func (t *Trail) Pending() int { return len(t.pending) }

// Idle reports whether every record is stored.
func (t *Trail) Idle() bool { return len(t.pending) == 0 && t.batch == nil }

// Step processes one event and returns the resulting actions.
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
			t.batch.inFlight = false
			t.batch.retryAt = now + t.cfg.RetryWait
		}
	case Tick:
	}
	return t.nextWrite(now)
}

func (t *Trail) append(now time.Duration, record Record) {
	if len(t.pending) == 0 {
		t.pendingSince = now
	}
	if len(t.pending) >= t.cfg.MaxPending {
		t.pending = t.pending[1:]
		t.dropped++
	}
	t.pending = append(t.pending, record)
}

func (t *Trail) nextWrite(now time.Duration) []Action {
	if t.batch == nil && len(t.pending) > 0 && now-t.pendingSince >= t.cfg.BatchInterval {
		t.fillBatch(now)
	}
	if t.batch == nil || t.batch.inFlight || now < t.batch.retryAt {
		return nil
	}
	t.batch.inFlight = true
	return []Action{WriteBatch{Key: t.batch.key, Lines: t.batch.lines}}
}

// fillBatch moves pending records into a new batch until it has MaxBatchBytes, preceded by
// a record of the number dropped, if any.
func (t *Trail) fillBatch(now time.Duration) {
	first := t.pending[0].When
	var lines bytes.Buffer
	if t.dropped > 0 {
		t.appendLine(&lines, Record{
			When: first, Who: t.cfg.Self.String(), What: "audit.dropped", Verdict: "lost",
			Detail: fmt.Sprintf("%d records were dropped while the key-value service was down", t.dropped),
		})
		t.dropped = 0
	}
	taken := 0
	for taken < len(t.pending) && (taken == 0 || lines.Len() < t.cfg.MaxBatchBytes) {
		t.appendLine(&lines, t.pending[taken])
		taken++
	}
	t.pending = t.pending[taken:]
	t.pendingSince = now
	t.batchSerial++
	t.batch = &batch{key: BatchKey(first, t.cfg.Self, t.batchSerial), lines: lines.String()}
}

func (t *Trail) appendLine(to *bytes.Buffer, record Record) {
	text, err := json.Marshal(record)
	if err != nil {
		t.dropped++
		return
	}
	to.Write(text)
	to.WriteByte('\n')
}

// BatchKey returns the key of a batch. Keys sort by the time of the first record.
func BatchKey(first time.Time, self ident.Instance, serial uint64) string {
	return fmt.Sprintf("%s%s/%s/%d", Prefix, first.UTC().Format("2006-01-02T15:04:05.000"), self, serial)
}

// Parse decodes the records of a batch. With an error it returns the records before the
// invalid one.
func Parse(lines string) ([]Record, error) {
	var records []Record
	decoder := json.NewDecoder(bytes.NewReader([]byte(lines)))
	for decoder.More() {
		var record Record
		if err := decoder.Decode(&record); err != nil {
			return records, errors.Wrapf(err, "decode audit record %d", len(records)+1)
		}
		records = append(records, record)
	}
	return records, nil
}
