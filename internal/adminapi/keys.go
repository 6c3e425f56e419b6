package adminapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// MinKeyBytes is the minimum length of an operator's key, in bytes.
const MinKeyBytes = 16

// Keys holds the operators' keys. Only their SHA-256 hashes are kept.
type Keys struct {
	operators []operatorKey
}

type operatorKey struct {
	name string
	hash [sha256.Size]byte
}

// NewKeys builds Keys from a map of operator name to key. The error lists every invalid
// entry.
func NewKeys(byOperator map[string]string) (Keys, error) {
	var keys Keys
	var err error
	for name, key := range byOperator {
		if name == "" {
			err = errors.Join(err, errors.New("an operator's name must not be empty: set the key as name=key"))
		}
		if len(key) < MinKeyBytes {
			err = errors.Join(err, errors.Newf("the key of operator %q has %d bytes, must have at least %d", name, len(key), MinKeyBytes))
		}
		keys.operators = append(keys.operators, operatorKey{name: name, hash: sha256.Sum256([]byte(key))})
	}
	slices.SortFunc(keys.operators, func(a, b operatorKey) int { return strings.Compare(a.name, b.name) })
	return keys, err
}

// ParseKeys parses keys of the form "name=key,name=key".
func ParseKeys(text string) (Keys, error) {
	byOperator := map[string]string{}
	for field := range strings.SplitSeq(text, ",") {
		if strings.TrimSpace(field) == "" {
			continue
		}
		name, key, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok {
			return Keys{}, errors.New("an operator's key has no name: set the key as name=key")
		}
		byOperator[name] = key
	}
	return NewKeys(byOperator)
}

// Operator returns the name of the operator that key belongs to. It compares the hash
// with those of all keys in constant time.
func (k Keys) Operator(key string) (string, bool) {
	hash := sha256.Sum256([]byte(key))
	name, found := "", false
	for _, operator := range k.operators {
		if subtle.ConstantTimeCompare(operator.hash[:], hash[:]) == 1 {
			name, found = operator.name, true
		}
	}
	return name, found
}

// operatorFromHeader returns the operator whose key an Authorization header carries.
func (k Keys) operatorFromHeader(header string) (string, bool) {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	return k.Operator(key)
}
