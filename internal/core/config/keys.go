package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
)

const (
	// KeyPrefix is the prefix of every raw key.
	KeyPrefix = "rs_"
	// KeyBytes is the number of random bytes in a raw key.
	KeyBytes = 32
	// keyIDBytes is how many bytes of the hash form a key's id. With 48 bits, the
	// ids of 100,000 keys collide with a probability below 1 in 50,000.
	keyIDBytes = 6
)

// NewKey derives a raw key and the record to store from KeyBytes random bytes.
// The raw key is shown once and is not part of the record. now is in Unix seconds.
func NewKey(random []byte, workspace string, now int64) (raw string, key Key, err error) {
	if len(random) != KeyBytes {
		return "", Key{}, fmt.Errorf("new key: %d random bytes, want %d", len(random), KeyBytes)
	}
	raw = KeyPrefix + base64.RawURLEncoding.EncodeToString(random)
	hash := HashKey(raw)
	key = Key{ID: "k" + hash[:2*keyIDBytes], Workspace: workspace, Hash: hash, CreatedAt: now}
	return raw, key, nil
}

// HashKey returns the hex-encoded SHA-256 of a raw key.
func HashKey(raw string) string {
	sum := sha256.Sum256([]byte(raw))
	return hex.EncodeToString(sum[:])
}

// KeyIndex looks up keys by hash. It is immutable; build one per snapshot. The
// time of a lookup depends only on the hash of the presented key, which a caller
// cannot direct towards a stored hash.
type KeyIndex struct {
	callers   map[string]Key
	operators map[string]Key
}

// NewKeyIndex indexes the keys of a snapshot. Keys of callers and of operators
// are indexed separately, so that neither is accepted on the other's API.
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

// Caller returns the caller's key that matches a raw key.
func (x *KeyIndex) Caller(raw string) (Key, bool) { return lookup(x.callers, raw) }

// Operator returns the operator's key that matches a raw key.
func (x *KeyIndex) Operator(raw string) (Key, bool) { return lookup(x.operators, raw) }

func lookup(index map[string]Key, raw string) (Key, bool) {
	hash := HashKey(raw)
	key, ok := index[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(key.Hash), []byte(hash)) != 1 {
		return Key{}, false
	}
	return key, true
}

// EqualKeys compares a presented raw key with a known one in constant time. An
// empty known key matches nothing.
func EqualKeys(presented, known string) bool {
	a, b := sha256.Sum256([]byte(presented)), sha256.Sum256([]byte(known))
	return known != "" && subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
