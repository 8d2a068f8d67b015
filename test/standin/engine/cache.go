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
	// charsPerToken is the rough length of a prompt token.
	charsPerToken = 4
	// blockTokens is the number of tokens in one cached block of a prompt.
	blockTokens = 16
	// maxCacheEvents bounds the published cache events; older ones are lost.
	maxCacheEvents = 4096
)

// CacheEvent reports that a block entered or left the prefix cache. Numbers
// are missing where events were lost.
type CacheEvent struct {
	Seq  int64  `json:"seq"`
	AtMS int64  `json:"at_ms"`
	Kind string `json:"kind"` // stored or removed
	Hash string `json:"hash"` // of the prompt up to the end of the block
}

// prefixCache is an LRU cache of prompt blocks with late and lossy events.
type prefixCache struct {
	capacity int           // blocks
	lag      time.Duration // before an event is visible
	loss     float64       // probability that an event is lost
	random   *control.Random

	mu     sync.Mutex
	order  *list.List // most recently used first; values are uint64
	blocks map[uint64]*list.Element
	seq    int64
	events []CacheEvent
}

func newPrefixCache(tokens int, lag time.Duration, loss float64, random *control.Random) *prefixCache {
	return &prefixCache{
		capacity: tokens / blockTokens, lag: lag, loss: loss, random: random,
		order: list.New(), blocks: map[uint64]*list.Element{},
	}
}

// blockHashes returns a hash for each full block of the prompt, each covering
// the prompt up to the end of its block.
func blockHashes(prompt string) []uint64 {
	const width = blockTokens * charsPerToken
	var out []uint64
	var previous uint64
	for len(prompt) >= width {
		var seed [8]byte
		binary.LittleEndian.PutUint64(seed[:], previous)
		d := xxhash.New()
		_, _ = d.Write(seed[:])
		_, _ = d.WriteString(prompt[:width])
		previous = d.Sum64()
		out = append(out, previous)
		prompt = prompt[width:]
	}
	return out
}

// use returns how many tokens of the prompt were cached, and caches all its blocks.
func (c *prefixCache) use(prompt string, now time.Time) int {
	hashes := blockHashes(prompt)
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	for hits < len(hashes) && c.blocks[hashes[hits]] != nil {
		hits++
	}
	for _, h := range hashes {
		c.touch(h, now)
	}
	for len(c.blocks) > c.capacity {
		c.evict(now)
	}
	return hits * blockTokens
}

func (c *prefixCache) touch(hash uint64, now time.Time) {
	if el, ok := c.blocks[hash]; ok {
		c.order.MoveToFront(el)
		return
	}
	c.blocks[hash] = c.order.PushFront(hash)
	c.publish("stored", hash, now)
}

func (c *prefixCache) evict(now time.Time) {
	el := c.order.Back()
	hash := c.order.Remove(el).(uint64)
	delete(c.blocks, hash)
	c.publish("removed", hash, now)
}

func (c *prefixCache) publish(kind string, hash uint64, now time.Time) {
	c.seq++
	if c.random.Chance(c.loss) {
		return
	}
	if len(c.events) >= maxCacheEvents {
		c.events = append([]CacheEvent(nil), c.events[maxCacheEvents/2:]...)
	}
	c.events = append(c.events, CacheEvent{
		Seq: c.seq, AtMS: now.UnixMilli(), Kind: kind, Hash: strconv.FormatUint(hash, 16),
	})
}

// after returns the visible events with a number larger than seq.
func (c *prefixCache) after(seq int64, now time.Time) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	visible := now.Add(-c.lag).UnixMilli()
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
