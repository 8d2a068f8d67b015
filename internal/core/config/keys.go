package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
)

const (
	// KeyPrefix starts every raw key.
	KeyPrefix = "rs_"
	// KeyBytes is how many random bytes a raw key holds.
	KeyBytes = 32
	// keyIDBytes is how much of the hash names a key: 48 bits, so that ids of
	// 100,000 keys collide with a probability below 1 in 50,000.
	keyIDBytes = 6
)

// NewKey makes a raw key from KeyBytes random bytes and the record to store.
// The raw key is shown once and is not part of the record. now is Unix seconds.
func NewKey(random []byte, workspace string, now int64) (raw string, key Key, err error) {
	if len(random) != KeyBytes {
		return "", Key{}, fmt.Errorf("new key: %d random bytes, want %d", len(random), KeyBytes)
	}
	raw = KeyPrefix + base64.RawURLEncoding.EncodeToString(random)
	hash := HashKey(raw)
	key = Key{ID: "k" + hash[:2*keyIDBytes], Workspace: workspace, Hash: hash, CreatedAt: now}
	return raw, key, nil
}

// HashKey returns the SHA-256 of a raw key in hex.
func HashKey(raw string) string {
	sum := sha256.Sum256([]byte(raw))
	return hex.EncodeToString(sum[:])
}

// KeyIndex finds keys by their hash. It is immutable; build one per snapshot.
// The time of a lookup depends on the hash of the sent key only, which a
// caller cannot steer towards a stored hash.
type KeyIndex struct {
	callers   map[string]Key
	operators map[string]Key
}

// NewKeyIndex indexes the keys of a snapshot. Keys of callers and of operators
// are kept apart, so that neither opens the other's interface.
func NewKeyIndex(s *Snapshot) *KeyIndex {
	x := &KeyIndex{callers: map[string]Key{}, operators: map[string]Key{}}
	for _, k := range s.Keys {
		if k.Operator {
			x.operators[k.Hash] = k
		} else {
			x.callers[k.Hash] = k
		}
	}
	return x
}

// Caller returns the key of a caller for a raw key.
func (x *KeyIndex) Caller(raw string) (Key, bool) { return lookup(x.callers, raw) }

// Operator returns the key of an operator for a raw key.
func (x *KeyIndex) Operator(raw string) (Key, bool) { return lookup(x.operators, raw) }

func lookup(index map[string]Key, raw string) (Key, bool) {
	hash := HashKey(raw)
	key, ok := index[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(key.Hash), []byte(hash)) != 1 {
		return Key{}, false
	}
	return key, true
}

// EqualKeys compares a sent raw key with a known one in constant time.
func EqualKeys(sent, known string) bool {
	a, b := sha256.Sum256([]byte(sent)), sha256.Sum256([]byte(known))
	return known != "" && subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
