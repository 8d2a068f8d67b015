package engine

import (
	"container/list"
	"encoding/binary"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortstep/test/standin/control"
)

const (
	// charsPerToken is the assumed length of a prompt token.
	charsPerToken = 4
	// blockTokens is the number of tokens in one cached block of a prompt.
	blockTokens = 16
	// maxCacheEvents bounds the retained cache events; the oldest half is dropped at the limit.
	maxCacheEvents = 4096
)

// CacheEvent reports that a block was added to or removed from the prefix cache.
// Lost events leave gaps in Seq.
type CacheEvent struct {
	Seq  int64  `json:"seq"`
	AtMS int64  `json:"at_ms"`
	Kind string `json:"kind"` // stored or removed
	Hash string `json:"hash"` // of the prompt up to the end of the block
}

// prefixCache is an LRU cache of prompt blocks. Its events are delayed and may be lost.
type prefixCache struct {
	capacityBlocks int
	eventDelay     time.Duration // before an event is visible
	eventLossRate  float64       // probability that an event is lost
	random         *control.Random

	mu      sync.Mutex
	recency *list.List // most recently used first; values are uint64
	blocks  map[uint64]*list.Element
	seq     int64
	events  []CacheEvent
}

func newPrefixCache(tokens int, eventDelay time.Duration, eventLossRate float64, random *control.Random) *prefixCache {
	return &prefixCache{
		capacityBlocks: tokens / blockTokens, eventDelay: eventDelay, eventLossRate: eventLossRate, random: random,
		recency: list.New(), blocks: map[uint64]*list.Element{},
	}
}

// blockHashes returns a hash for each full block of the prompt. Each hash covers
// the prompt up to the end of its block.
func blockHashes(prompt string) []uint64 {
	const width = blockTokens * charsPerToken
	var out []uint64
	var previous uint64
	for len(prompt) >= width {
		var seed [8]byte
		binary.LittleEndian.PutUint64(seed[:], previous)
		digest := xxhash.New()
		_, _ = digest.Write(seed[:])
		_, _ = digest.WriteString(prompt[:width])
		previous = digest.Sum64()
		out = append(out, previous)
		prompt = prompt[width:]
	}
	return out
}

// lookupAndStore returns how many tokens of the prompt were cached, and caches all
// of its full blocks.
func (c *prefixCache) lookupAndStore(prompt string, now time.Time) int {
	hashes := blockHashes(prompt)
	c.mu.Lock()
	defer c.mu.Unlock()
	cachedBlocks := 0
	for cachedBlocks < len(hashes) && c.blocks[hashes[cachedBlocks]] != nil {
		cachedBlocks++
	}
	for _, h := range hashes {
		c.touch(h, now)
	}
	for len(c.blocks) > c.capacityBlocks {
		c.evict(now)
	}
	return cachedBlocks * blockTokens
}

func (c *prefixCache) touch(hash uint64, now time.Time) {
	if element, ok := c.blocks[hash]; ok {
		c.recency.MoveToFront(element)
		return
	}
	c.blocks[hash] = c.recency.PushFront(hash)
	c.recordEvent("stored", hash, now)
}

func (c *prefixCache) evict(now time.Time) {
	element := c.recency.Back()
	hash := c.recency.Remove(element).(uint64)
	delete(c.blocks, hash)
	c.recordEvent("removed", hash, now)
}

func (c *prefixCache) recordEvent(kind string, hash uint64, now time.Time) {
	c.seq++
	if c.random.Chance(c.eventLossRate) {
		return
	}
	if len(c.events) >= maxCacheEvents {
		c.events = append([]CacheEvent(nil), c.events[maxCacheEvents/2:]...)
	}
	c.events = append(c.events, CacheEvent{
		Seq: c.seq, AtMS: now.UnixMilli(), Kind: kind, Hash: strconv.FormatUint(hash, 16),
	})
}

// afterSeq returns the visible events with a Seq above seq.
func (c *prefixCache) afterSeq(seq int64, now time.Time) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	visible := now.Add(-c.eventDelay).UnixMilli()
	out := []CacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && e.AtMS <= visible {
			out = append(out, e)
		}
	}
	return out
}

func (c *prefixCache) clear(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.blocks) > 0 {
		c.evict(now)
	}
}
