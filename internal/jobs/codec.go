package jobs

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// maxDecodedBytes bounds the decoded size of one part or segment, so that a
// damaged object cannot exhaust the host's memory.
const maxDecodedBytes = 16 << 20

// codec returns the shared zstd encoder and decoder. EncodeAll and DecodeAll
// are safe for concurrent use.
var codec = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(2), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err) // the options are constant
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(2), zstd.WithDecoderMaxMemory(maxDecodedBytes))
	if err != nil {
		panic(err)
	}
	return enc, dec
})

func compress(raw []byte) []byte {
	enc, _ := codec()
	return enc.EncodeAll(raw, nil)
}

func decompress(packed []byte, key string) ([]byte, error) {
	_, dec := codec()
	raw, err := dec.DecodeAll(packed, nil)
	return raw, errors.Wrapf(err, "decompress %s", key)
}
