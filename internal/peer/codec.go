package peer

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/encoding"
)

// codecName is the content subtype of every call: application/grpc+cbor.
const codecName = "cbor"

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func init() {
	encoding.RegisterCodec(codec{})
}

// codec implements encoding.Codec.
type codec struct{}

// Name implements encoding.Codec.
func (codec) Name() string { return codecName }

// Marshal implements encoding.Codec.
func (codec) Marshal(v any) ([]byte, error) { return Marshal(v) }

// Unmarshal implements encoding.Codec.
func (codec) Unmarshal(data []byte, v any) error { return Unmarshal(data, v) }

// Marshal encodes a message for the wire. Equal messages have equal encodings.
func Marshal(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	return data, errors.Wrapf(err, "encode %T", v)
}

// Unmarshal decodes a message encoded by Marshal. Fields that v lacks are ignored, so
// that a newer process can send to an older one.
func Unmarshal(data []byte, v any) error {
	return errors.Wrapf(decMode.Unmarshal(data, v), "decode %T", v)
}

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
