package wire

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Decode decodes a message into a struct with integer keys. Missing fields keep their values,
// and so do those that could not be decoded, whose keys it returns: a field that was decoded
// halfway could look like a finding. It returns an error if body is no message at all.
func Decode[T any](body []byte, message *T) (invalid []int, err error) {
	decoded := *message
	if err = cbor.Unmarshal(body, message); err == nil {
		return nil, nil
	}
	// Keys of another type than integers are not known to any build.
	var fields map[any]cbor.RawMessage
	if err := cbor.Unmarshal(body, &fields); err != nil {
		return nil, errors.Wrap(err, "not a message")
	}
	v := reflect.ValueOf(&decoded).Elem()
	for i := range v.NumField() {
		key, ok := integerKey(v.Type().Field(i))
		if !ok {
			continue
		}
		raw, present := fields[uint64(key)]
		if !present {
			continue
		}
		value := reflect.New(v.Field(i).Type())
		if err := cbor.Unmarshal(raw, value.Interface()); err != nil {
			invalid = append(invalid, key)
			continue
		}
		v.Field(i).Set(value.Elem())
	}
	*message = decoded
	return invalid, nil
}

// integerKey returns the key in a field's tag `cbor:"KEY,keyasint"`.
func integerKey(f reflect.StructField) (key int, ok bool) {
	name, options, _ := strings.Cut(f.Tag.Get("cbor"), ",")
	if !f.IsExported() || !strings.Contains(options, "keyasint") {
		return 0, false
	}
	key, err := strconv.Atoi(name)
	return key, err == nil
}

// DecodeElements decodes the leading elements of an array into elements and ignores further
// ones, which a later build may have appended.
func DecodeElements(body []byte, elements ...any) error {
	var raw []cbor.RawMessage
	if err := cbor.Unmarshal(body, &raw); err != nil {
		return err
	}
	if len(raw) < len(elements) {
		return errors.Newf("array of %d elements, want %d", len(raw), len(elements))
	}
	for i, e := range elements {
		if err := cbor.Unmarshal(raw[i], e); err != nil {
			return errors.Wrapf(err, "element %d", i)
		}
	}
	return nil
}
