package wire

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type inner struct {
	Services []uint32 `cbor:"1,keyasint"`
	Age      int64    `cbor:"2,keyasint"`
}

type message struct {
	From string           `cbor:"1,keyasint"`
	Seq  uint64           `cbor:"2,keyasint"`
	Cuts map[string]inner `cbor:"3,keyasint,omitempty"`
}

func encode(t *testing.T, v any) []byte {
	body, err := cbor.Marshal(v)
	require.NoError(t, err)
	return body
}

// Guards against a message of another build that is dropped as a whole, or of which a field is
// taken over halfway.
func TestDecodeOfAnotherBuild(t *testing.T) {
	var m message
	invalid, err := Decode(encode(t, map[any]any{1: "a", 2: 7, 99: map[string]any{"x": 1}, "word": 3}), &m)
	require.NoError(t, err)
	assert.Empty(t, invalid)
	assert.Equal(t, message{From: "a", Seq: 7}, m, "unknown fields")

	m = message{}
	invalid, err = Decode(encode(t, map[any]any{1: "a"}), &m)
	require.NoError(t, err)
	assert.Empty(t, invalid)
	assert.Equal(t, message{From: "a"}, m, "a missing field")

	m = message{}
	cuts := map[string]any{"b": map[int]any{1: "not a list", 2: 5}}
	invalid, err = Decode(encode(t, map[any]any{1: "a", 2: 7, 3: cuts, "word": 3}), &m)
	require.NoError(t, err)
	assert.Equal(t, []int{3}, invalid)
	assert.Equal(t, message{From: "a", Seq: 7}, m, "a field of another type, without the rest of it")

	for _, body := range [][]byte{nil, {0xff}, encode(t, []int{1}), encode(t, "text")} {
		_, err = Decode(body, &m)
		assert.Error(t, err, "%x", body)
	}
}

// Guards against an array that a later build has extended being refused.
func TestDecodeElements(t *testing.T) {
	var n uint16
	var age int64
	require.NoError(t, DecodeElements(encode(t, []any{1, 2, "more"}), &n, &age))
	assert.Equal(t, uint16(1), n)
	assert.Equal(t, int64(2), age)
	assert.Error(t, DecodeElements(encode(t, []any{1}), &n, &age))
	assert.Error(t, DecodeElements(encode(t, []any{1, "x"}), &n, &age))
	assert.Error(t, DecodeElements(encode(t, 5), &n, &age))
}

func FuzzDecode(f *testing.F) {
	for _, v := range []any{message{From: "a", Cuts: map[string]inner{"b": {}}}, map[any]any{1: 5, 99: "x"}} {
		body, err := cbor.Marshal(v)
		require.NoError(f, err)
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var m message
		if _, err := Decode(body, &m); err != nil {
			return
		}
		again := message{}
		invalid, err := Decode(encode(t, m), &again)
		require.NoError(t, err)
		require.Empty(t, invalid)
	})
}
