package router

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backpressure"
	"github.com/catkinstair/catkinstair/internal/basis"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/loads"
	"github.com/catkinstair/catkinstair/internal/obs"
	"github.com/catkinstair/catkinstair/internal/poison"
	"github.com/catkinstair/catkinstair/internal/reach"
	"github.com/catkinstair/catkinstair/platform"
)

// exchanged lists the messages and records that VMs exchange. The types in their fields are
// found by reflection.
var exchanged = []reflect.Type{reflect.TypeFor[loads.Message](), reflect.TypeFor[changesRequest](), reflect.TypeFor[changesResponse](), reflect.TypeFor[configurationRequest](), reflect.TypeFor[configurationResponse](), reflect.TypeFor[member](), reflect.TypeFor[blockedPart]()}

// wireField is a field on the wire: the message, its key and its type.
type wireField struct{ message, key, typ string }

// wireFields returns the fields of the types and of all types in them, by message and key.
func wireFields(t testing.TB, types []reflect.Type) map[string]wireField {
	out := map[string]wireField{}
	seen := map[reflect.Type]bool{}
	var visit func(reflect.Type) string
	visitStruct := func(s reflect.Type) {
		if seen[s] {
			return
		}
		seen[s] = true
		asArray, elements := false, 0
		for i := range s.NumField() {
			f := s.Field(i)
			tag := f.Tag.Get("cbor")
			if f.Name == "_" && tag == ",toarray" {
				asArray = true
			}
			if !f.IsExported() {
				continue
			}
			if tag == "" {
				tag = f.Tag.Get("json")
			}
			key, _, _ := strings.Cut(tag, ",")
			if asArray {
				key = fmt.Sprint("element ", elements)
				elements++
			}
			require.NotEmpty(t, key, "%v.%s has no key", s, f.Name)
			w := wireField{s.String(), key, visit(f.Type)}
			require.NotContains(t, out, w.message+" "+key, "a key that two fields have")
			out[w.message+" "+key] = w
		}
	}
	visit = func(typ reflect.Type) string {
		switch typ.Kind() {
		case reflect.Pointer:
			return visit(typ.Elem())
		case reflect.Struct:
			visitStruct(typ)
			return typ.String()
		case reflect.Map:
			return fmt.Sprintf("map[%s]%s", visit(typ.Key()), visit(typ.Elem()))
		case reflect.Slice:
			return "[]" + visit(typ.Elem())
		case reflect.Array:
			return fmt.Sprintf("[%d]%s", typ.Len(), visit(typ.Elem()))
		default:
			return typ.Kind().String()
		}
	}
	for _, typ := range types {
		visit(typ)
	}
	return out
}

const retired = "retired"

// listedFields returns the rows of the table of fields in docs/design/compatibility.md.
func listedFields(t *testing.T) map[string]wireField {
	text, err := os.ReadFile("../../docs/design/compatibility.md")
	require.NoError(t, err)
	out := map[string]wireField{}
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		const columns = 6 // message, field, key, type, first build, without it
		if len(cells) != columns || !strings.HasPrefix(strings.TrimSpace(cells[0]), "`") {
			continue
		}
		for i := range cells {
			cells[i] = strings.Trim(strings.TrimSpace(cells[i]), "`")
		}
		w := wireField{cells[0], cells[2], cells[3]}
		require.NotContains(t, out, w.message+" "+w.key, "the table has a key twice")
		require.NotEmpty(t, cells[4], "first build of %s %s", w.message, w.key)
		out[w.message+" "+w.key] = w
	}
	require.NotEmpty(t, out)
	return out
}

// Guards against a key that is reused or changes its type, which builds of a rolling upgrade
// would read as something else, and against fields that the page does not list.
func TestWireKeysAreNeverReused(t *testing.T) {
	current, listed := wireFields(t, exchanged), listedFields(t)
	for name, w := range current {
		row, ok := listed[name]
		if assert.True(t, ok, "docs/design/compatibility.md does not list %s (%s); choose a key that it does not list", name, w.typ) {
			assert.Equal(t, row.typ, w.typ, "%s changed its type or is retired; give the field a new key", name)
		}
	}
	for name, row := range listed {
		if row.typ != retired {
			assert.Contains(t, current, name, "the table lists a field that is gone; mark it as %s", retired)
		}
	}
}

// The page may be edited by mistake, so the keys of a build that is in use are also kept in a
// file that never changes.
func TestWireKeysOfEarlierBuildKeepTheirTypes(t *testing.T) {
	text, err := os.ReadFile("testdata/wire-d5e7022.txt")
	require.NoError(t, err)
	current, listed := wireFields(t, exchanged), listedFields(t)
	n := 0
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(strings.TrimSpace(line), "\t")
		require.Len(t, cells, 3)
		n++
		name := cells[0] + " " + cells[1]
		if w, ok := current[name]; ok {
			assert.Equal(t, cells[2], w.typ, "%s has another type than in build d5e7022", name)
		}
		assert.Contains(t, listed, name)
	}
	require.Greater(t, n, 40)
}

// fullMessage has all fields.
func fullMessage() loads.Message {
	return loads.Message{From: "vm-1", Domain: "a", Scope: loads.ScopeDomain, Seq: 9, Loads: map[loads.Key]loads.PackedLoad{1: {2, 3, 4}},
		Lost: map[loads.Key]time.Duration{1: 5}, Failing: map[loads.Key]time.Duration{2: 5}, Leaving: map[loads.Key]time.Duration{3: 5},
		Slow: map[loads.Key]loads.Slow{4: {Percent: 300, Age: 6}},
		Poison: &poison.Update{Runs: []poison.SharedRun{{Server: 1, Prompt: poison.Prompt{"p"}, Request: "r", SentAge: 8, Age: 7, Doubtful: true}},
			Progress: map[poison.Part]time.Duration{"p": 9}, Blocked: []poison.SharedBlock{{Part: "b", Age: 9, SeenAge: 8, Ambiguous: true, Trials: 1}}},
		Limits: map[backpressure.Key]backpressure.Shared{5: {PerSecond: 2.5, Age: 3}},
		CutOff: map[string]reach.Cut{"vm-2": {Services: []uint32{1, 2}, Age: 4}},
		Build:  "b", FeatureLevel: 1}
}

// messageOfD5e7022 is loads.Message of build d5e7022, with its arrays of a fixed length.
type messageOfD5e7022 struct {
	From    string                    `cbor:"1,keyasint"`
	Domain  string                    `cbor:"2,keyasint"`
	Scope   uint8                     `cbor:"3,keyasint"`
	Seq     uint64                    `cbor:"4,keyasint"`
	Loads   map[uint32][3]uint32      `cbor:"5,keyasint"`
	Lost    map[uint32]time.Duration  `cbor:"6,keyasint,omitempty"`
	Failing map[uint32]time.Duration  `cbor:"8,keyasint,omitempty"`
	Leaving map[uint32]time.Duration  `cbor:"11,keyasint,omitempty"`
	Slow    map[uint32]slowOfD5e7022  `cbor:"7,keyasint,omitempty"`
	Poison  *poison.Update            `cbor:"9,keyasint,omitempty"`
	Limits  map[uint32]limitOfD5e7022 `cbor:"10,keyasint,omitempty"`
	CutOff  map[string]reach.Cut      `cbor:"12,keyasint,omitempty"`
}

type slowOfD5e7022 struct {
	_       struct{} `cbor:",toarray"`
	Percent uint16
	Age     time.Duration
}

type limitOfD5e7022 struct {
	_         struct{} `cbor:",toarray"`
	PerSecond float32
	Age       time.Duration
}

// Guards against messages that build d5e7022 refuses, or this build those of d5e7022.
func TestLoadMessagesBetweenBuilds(t *testing.T) {
	m := fullMessage()
	body, err := cbor.Marshal(m)
	require.NoError(t, err)
	var old messageOfD5e7022
	require.NoError(t, cbor.Unmarshal(body, &old))
	oldBody, err := cbor.Marshal(old)
	require.NoError(t, err)
	back, invalid, err := loads.Decode(oldBody)
	require.NoError(t, err)
	require.Empty(t, invalid)
	m.Build, m.FeatureLevel = "", 0
	require.Equal(t, m, back)
}

// variants returns a message without each of its fields, with another type in each, and with
// unknown fields.
func variants(t testing.TB, message any) (out [][]byte) {
	body, err := cbor.Marshal(message)
	require.NoError(t, err)
	out = append(out, body)
	var fields map[any]any
	require.NoError(t, cbor.Unmarshal(body, &fields))
	add := func(change func(map[any]any)) {
		changed := maps.Clone(fields)
		change(changed)
		body, err := cbor.Marshal(changed)
		require.NoError(t, err)
		out = append(out, body)
	}
	add(func(f map[any]any) { f[200], f["word"], f[-3] = map[string]int{"x": 1}, "y", []int{1} })
	for key := range fields {
		add(func(f map[any]any) { delete(f, key) })
		for _, other := range []any{nil, "text", -1, uint64(math.MaxUint64), []any{1, "x"}, map[any]any{"x": -1, 7: nil}, 1.5, true} {
			add(func(f map[any]any) { f[key] = other })
		}
	}
	return out
}

func receiveMessage(t testing.TB, body []byte) (loads.Message, error) {
	m, _, err := loads.Decode(body)
	if err != nil {
		return m, err
	}
	core := dispatch.New(dispatch.DefaultConfig())
	core.Loads.SetMembers([]loads.Member{{VM: "vm-0", Domain: "a", Addr: "x"}, {VM: "vm-1", Domain: "a", Addr: "y"}})
	const now = time.Hour
	core.Receive(now, m)
	core.Tick(now + time.Second)
	again, err := cbor.Marshal(m)
	require.NoError(t, err)
	_, invalid, err := loads.Decode(again)
	require.NoError(t, err)
	require.Empty(t, invalid)
	return m, nil
}

// Guards against a load message of another build that is dropped as a whole for one field, or
// whose loads are taken for those of other VMs.
func TestLoadMessagesOfOtherBuilds(t *testing.T) {
	for _, body := range variants(t, fullMessage()) {
		m, err := receiveMessage(t, body)
		if err != nil {
			continue // without a sender
		}
		if m.From == "vm-1" && m.Scope == loads.ScopeDomain {
			assert.NotNil(t, m.Loads)
			assert.NotEmpty(t, m.Domain)
		}
		assert.NotEqual(t, loads.ScopeVM, m.Scope, "%x", body)
	}
	body, err := cbor.Marshal(map[any]any{1: "vm-1", 2: "a", 3: 0, 4: 1, 5: map[int][]int{1: {2, 3, 4, 5}, 2: {1}}, 6: "lost?", 7: map[int][]any{9: {300, 5, "more"}}, 10: map[int][]any{8: {2.5, 5, "more"}}})
	require.NoError(t, err)
	m, invalid, err := loads.Decode(body)
	require.NoError(t, err)
	assert.Equal(t, []int{6}, invalid)
	assert.Equal(t, map[loads.Key]loads.PackedLoad{1: {2, 3, 4}, 2: {1}}, m.Loads)
	assert.Equal(t, loads.Slow{Percent: 300, Age: 5}, m.Slow[9], "a longer array")
	assert.Equal(t, backpressure.Shared{PerSecond: 2.5, Age: 5}, m.Limits[8], "a longer array")
}

// Guards against a number of trials in a message that keeps the VM busy for hours.
func TestTrialsOfOtherVMsAreNotTrusted(t *testing.T) {
	core := dispatch.New(dispatch.DefaultConfig())
	m := loads.Message{From: "vm-1", Poison: &poison.Update{Blocked: []poison.SharedBlock{{Part: "b", Trials: math.MaxInt}}}}
	done := make(chan struct{})
	go func() { core.Receive(time.Hour, m); close(done) }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("not done within 5 s")
	}
}

func FuzzLoadMessage(f *testing.F) {
	for _, body := range variants(f, fullMessage()) {
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) { _, _ = receiveMessage(t, body) }) // an invalid message is refused
}

// Guards against a response of another build from which changes are missing unnoticed.
func TestChangesOfOtherBuilds(t *testing.T) {
	full := changesResponse{Items: []platform.Item{{Key: "k", Value: []byte("v"), Revision: 5, Lease: 7}}, AsOf: 5}
	for i, body := range variants(t, full) {
		resp, err := decodeChanges(body)
		if i < 2 { // as it is, and with unknown fields
			require.NoError(t, err)
			require.Equal(t, full, resp)
		}
		if err == nil {
			require.NotZero(t, resp.AsOf)
		}
	}
	item, err := cbor.Marshal(map[any]any{3: 5, 2: []any{map[string]any{"key": "k", "revision": 5, "more": 1}}})
	require.NoError(t, err)
	resp, err := decodeChanges(item)
	require.NoError(t, err)
	require.Equal(t, []platform.Item{{Key: "k", Revision: 5}}, resp.Items, "unknown and missing fields of an item")
}

func FuzzChangesResponse(f *testing.F) {
	for _, body := range variants(f, changesResponse{Items: []platform.Item{{Key: "k"}}, AsOf: 5}) {
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		if resp, err := decodeChanges(body); err == nil && resp.AsOf == 0 {
			t.Error("changes without the revision that they reach")
		}
	})
}

func FuzzChangesRequest(f *testing.F) {
	for _, body := range variants(f, changesRequest{Since: 5, Era: 1}) {
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var req changesRequest
		_ = cbor.Unmarshal(body, &req) // an invalid request is refused
	})
}

// Guards against a VM that is lost to its neighbors because its record has a field more, a
// field less, or a build of another form.
func TestMemberRecordsOfOtherBuilds(t *testing.T) {
	const known = `"vm":"vm-1","domain":"a","callers":"c:1","peers":"p:1","passed_on":"o:1"`
	want := member{VM: "vm-1", Domain: "a", CallerAddr: "c:1", PeerAddr: "p:1", PassedOnAddr: "o:1"}
	for _, extra := range []string{"", `,"news":{"x":[1]}`, `,"build":7`, `,"feature_level":"x","build":{"id":1}`} {
		m, err := decodeMember([]byte("{" + known + extra + "}"))
		require.NoError(t, err, extra)
		assert.Equal(t, want, m, extra)
	}
	m, err := decodeMember([]byte("{" + known + `,"build":"b","feature_level":3}`))
	require.NoError(t, err)
	assert.Equal(t, "b", m.Build)
	assert.Equal(t, 3, m.FeatureLevel)
	for _, invalid := range []string{`7`, `[]`, `{"vm":5}`, `{"domain":5,"build":7}`, ``} {
		m, err = decodeMember([]byte(invalid))
		require.Error(t, err, invalid)
		require.Empty(t, m)
	}

	s := newSite(t)
	s.configure(1)
	v := s.vm("vm-0")
	v.awaitReady(t)
	s.store.Put(membersPrefix+"bare", []byte(`{"vm":"bare","domain":"elsewhere"}`))
	require.Eventually(t, func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return len(v.members) == 2
	}, 5*time.Second, 10*time.Millisecond)
	assert.NotContains(t, v.addresses("elsewhere"), "", "callers get no empty address")
}

func FuzzMemberRecord(f *testing.F) {
	f.Add([]byte(`{"vm":"vm-1","domain":"a","callers":"c:1","peers":"p:1","passed_on":"o:1","build":"b","feature_level":1}`))
	f.Add([]byte(`{"vm":"vm-1","build":7,"feature_level":[]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		if m, err := decodeMember(value); err != nil && m != (member{}) {
			t.Error("a refused record leaves fields behind")
		}
	})
}

// Guards against a leader that drops what a later build wrote into the list of blocked parts.
func TestStoredBlocksKeepFieldsOfOtherBuilds(t *testing.T) {
	const stored = `[{"part":"a","since_ms":1000,"seen_ms":2000,"reason":{"code":7}},{"part":"gone","since_ms":1,"seen_ms":1,"reason":1},{"range":["x","y"]},{"part":"b","seen_ms":3000},{"part":"c","since_ms":"later"}]`
	list, extra, unknown, err := decodeBlockedParts([]byte(stored))
	require.NoError(t, err)
	require.Len(t, list, 3)
	assert.Equal(t, blockedPart{Part: "b", SinceMs: 3000, SeenMs: 3000}, list[2], "one time is missing")
	value, err := encodeBlockedParts([]blockedPart{{Part: "a", SinceMs: 1000, SeenMs: 5000}, {Part: "new", SinceMs: 6, SeenMs: 7}}, storedBlocks{extra: extra, unknown: unknown})
	require.NoError(t, err)
	assert.JSONEq(t, `[{"part":"a","since_ms":1000,"seen_ms":5000,"reason":{"code":7}},{"part":"new","since_ms":6,"seen_ms":7},{"range":["x","y"]},{"part":"c","since_ms":"later"}]`, string(value))

	many := make([]blockedPart, maxStoredBlocks+3)
	for i := range many {
		many[i].Part = poison.Part(strconv.Itoa(i))
	}
	value, err = encodeBlockedParts(many, storedBlocks{unknown: unknown})
	require.NoError(t, err)
	var entries []json.RawMessage
	require.NoError(t, json.Unmarshal(value, &entries))
	assert.Len(t, entries, maxStoredBlocks)
}

func FuzzBlockedParts(f *testing.F) {
	f.Add([]byte(`[{"part":"a","since_ms":1000,"seen_ms":2000,"crashes":2,"ambiguous":true,"trials":1,"reason":{"code":7}},{"range":1},5]`))
	f.Fuzz(func(t *testing.T, value []byte) {
		list, extra, unknown, err := decodeBlockedParts(value)
		if err != nil {
			return
		}
		again, err := encodeBlockedParts(list, storedBlocks{extra: extra, unknown: unknown})
		require.NoError(t, err)
		list2, _, unknown2, err := decodeBlockedParts(again)
		require.NoError(t, err)
		require.Equal(t, list, list2)
		require.Len(t, unknown2, len(unknown))
	})
}

// Guards against a claim or a number of runs that a later build extends being misread: the
// leader would be unknown, and a request could run more often than it may.
func TestClaimAndPassedOnHeaderOfOtherBuilds(t *testing.T) {
	assert.Equal(t, "vm-1", claimHolder([]byte("vm-1")))
	assert.Equal(t, "vm-1", claimHolder([]byte("vm-1\nlevel 3")))
	assert.Empty(t, claimHolder(nil))
	runs, err := platform.ParsePassedOn("2")
	require.NoError(t, err)
	assert.Equal(t, 2, runs)
	runs, err = platform.ParsePassedOn("2; level=3")
	require.NoError(t, err)
	assert.Equal(t, 2, runs)
	_, err = platform.ParsePassedOn("x")
	require.Error(t, err)
}

// Guards against a state of another build that is misread: a request would be refused for good, or
// run by an older configuration.
func TestStateHeaderOfOtherBuilds(t *testing.T) {
	full := basis.State{Known: true, Version: -12, Era: 3}
	for text, want := range map[string]basis.State{
		platform.EncodeState("a;b &=\r\n", full): full, "era=3&level=9&version=-12": full, "version=-12": {Known: true, Version: -12},
		"": {}, "version=x&era=1": {}, "version=1&era=-1": {}, "era=1": {}, "%zz": {}, platform.EncodeState("a", basis.State{}): {},
	} {
		_, got := platform.ParseState(text)
		assert.Equal(t, want, got, "%q", text)
	}
	vm, _ := platform.ParseState(platform.EncodeState("a;b &=\r\n", full))
	assert.Equal(t, "a;b &=\r\n", vm)
	assert.NotContains(t, platform.EncodeState("a\r\nb", full), "\n")
}

func FuzzStateHeader(f *testing.F) {
	for _, text := range []string{"", "era=3&version=12&vm=a", "version=-1", "version=9223372036854775808", "%zz", "vm=a;b"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		vm, s := platform.ParseState(text)
		vm2, s2 := platform.ParseState(platform.EncodeState(vm, s))
		if vm != vm2 || s != s2 {
			t.Errorf("%q: %q %+v, then %q %+v", text, vm, s, vm2, s2)
		}
	})
}

func FuzzConfigurationResponse(f *testing.F) {
	for _, body := range variants(f, configurationResponse{Value: []byte("{}")}) {
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		if value, err := decodeConfiguration(body); err != nil && value != nil {
			t.Error("a value and an error")
		}
	})
}

func FuzzConfigurationRequest(f *testing.F) {
	for _, body := range variants(f, configurationRequest{VM: "a", Known: true, Version: 7, Era: 1}) {
		f.Add(body)
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		var req configurationRequest
		_ = cbor.Unmarshal(body, &req) // an invalid request is refused
	})
}

func FuzzPassedOnHeader(f *testing.F) {
	for _, text := range []string{"", "2", " 2 ;x", "-1", "99999999999999999999"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if runs, err := platform.ParsePassedOn(text); err != nil && runs > 0 && runs != math.MaxInt {
			t.Errorf("%q gave %d and an error", text, runs)
		}
	})
}

// Guards against VMs whose build operators can't see, also if it was replaced while the store
// was down.
func TestOperatorsSeeBuilds(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	const metricsPort = 18230
	v := s.vmWith("vm-0", func(cfg *Config) { cfg.MetricsPort = metricsPort })
	v.awaitReady(t)
	get := func(uri string) []byte {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d%s", v.host, metricsPort, uri))
		require.NoError(t, err)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return body
	}
	vms := func() (list []vmBuild) {
		require.NoError(t, json.Unmarshal(get(vmsURI), &list))
		return list
	}
	assert.Contains(t, string(get("/metrics")), fmt.Sprintf("catkin_router_build_info{build=%q} 1\n", obs.Version()))
	s.store.Put(membersPrefix+"old", []byte(`{"vm":"old","domain":"elsewhere","callers":"127.0.0.1:1","peers":"127.0.0.1:1"}`))
	var list []vmBuild
	require.Eventually(t, func() bool { list = vms(); return len(list) == 2 }, 5*time.Second, 10*time.Millisecond)
	own := list[slices.IndexFunc(list, func(b vmBuild) bool { return b.VM == "vm-0" })]
	assert.NotEmpty(t, own.Build)
	assert.Positive(t, own.FeatureLevel)
	assert.Contains(t, list, vmBuild{VM: "old", Domain: "elsewhere"})
	v.handleLoads(loads.Message{From: "old", Build: "new", FeatureLevel: 4})
	v.handleLoads(loads.Message{From: "old", FeatureLevel: 4})
	v.handleLoads(loads.Message{From: "unknown", Build: "new"})
	assert.Contains(t, vms(), vmBuild{VM: "old", Domain: "elsewhere", Build: "new", FeatureLevel: 4})
	assert.Len(t, vms(), 2)
}

// Guards against blocks of a VM that is starting or stopping, which knows no one's progress.
func TestBlocksOfUnknownVMsAreIgnored(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	v := s.vm("vm-0")
	v.awaitReady(t)
	s.store.Put(membersPrefix+"known", []byte(`{"vm":"known","domain":"elsewhere"}`))
	require.Eventually(t, func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return len(v.members) == 2
	}, 5*time.Second, 10*time.Millisecond)
	v.handleLoads(loads.Message{From: "stopping", Poison: &poison.Update{Blocked: []poison.SharedBlock{{Part: "sound"}}}})
	v.handleLoads(loads.Message{From: "known", Poison: &poison.Update{Blocked: []poison.SharedBlock{{Part: "deadly"}}}})
	require.False(t, v.blocks("sound"))
	require.True(t, v.blocks("deadly"))
}
