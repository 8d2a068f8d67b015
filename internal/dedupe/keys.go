package dedupe

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"ragwortstep/internal/fleet"
	"ragwortstep/internal/peer"
)

const (
	shardCount = 64
	maxOwners  = 8
)

// keyHash identifies an idempotency key of a workspace. Only hashes of the
// callers' keys are stored and sent.
type keyHash string

// hashKey returns the first 128 bits of the SHA-256 of workspace and key in
// hex.
func hashKey(workspace, key string) keyHash {
	sum := sha256.Sum256([]byte(workspace + "\x00" + key))
	return keyHash(hex.EncodeToString(sum[:16]))
}

func (k keyHash) shard() uint64 { return xxhash.Sum64String(string(k)) % shardCount }

// ownerOf returns the owner of a key in an epoch, chosen among the first
// members by rendezvous hashing of the key's shard.
func ownerOf(v fleet.View, k keyHash) (peer.HostID, bool) {
	shard := k.shard()
	var best peer.HostID
	var bestRank uint64
	for i, m := range v.Members {
		if i == maxOwners {
			break
		}
		var d xxhash.Digest
		d.ResetWithSeed(shard)
		_, _ = d.WriteString(string(m.Host))
		if rank := d.Sum64(); i == 0 || rank > bestRank {
			best, bestRank = m.Host, rank
		}
	}
	return best, len(v.Members) > 0
}
