package cluster

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"ragwortstep/internal/core/freshness"
)

// Instant is a reading of a host's boot clock.
type Instant = freshness.Instant

const (
	// maxDatagram is the largest UDP payload over IPv4.
	maxDatagram = 65507
	// maxHeaderBytes is the part of a datagram that is reserved for the header.
	maxHeaderBytes = 1 << 10
)

// digest is one datagram: an encoded header followed by an encoded body.
type digest struct {
	header
	body
}

// header is the part of a digest that differs by recipient.
type header struct {
	From   Member  `cbor:"1,keyasint"`
	Sent   Instant `cbor:"2,keyasint"` // on the sender's clock
	Echo   Instant `cbor:"3,keyasint"` // Sent of the last digest from the recipient
	EchoOf int64   `cbor:"4,keyasint"` // incarnation of the recipient that sent that digest
}

// body is the part of a digest that many recipients share.
type body struct {
	Sections sections     `cbor:"1,keyasint"`
	Zones    []zoneDigest `cbor:"2,keyasint,omitempty"` // from delegates of a large fleet
}

// zoneDigest holds the merged sections of a zone's hosts.
type zoneDigest struct {
	Zone        string   `cbor:"1,keyasint"`
	Hosts       []uint32 `cbor:"2,keyasint"` // nameHash of the merged hosts
	Leaving     []uint32 `cbor:"3,keyasint,omitempty"`
	MembersHash int64    `cbor:"4,keyasint"` // identifies the processes that were merged
	Sections    sections `cbor:"5,keyasint"`
}

// membersHash identifies the set of processes whose sections were merged.
func membersHash(members []Member) int64 {
	h := xxhash.New()
	for _, m := range members {
		_, _ = h.WriteString(m.Name) // a hash does not fail
		_, _ = h.Write([]byte{0, byte(m.Incarnation), byte(m.Incarnation >> 8), byte(m.Incarnation >> 16), byte(m.Incarnation >> 24)})
	}
	return int64(h.Sum64() >> 1)
}

var errTooLarge = errors.New("digest without sections exceeds a datagram")

// encodeBody encodes a body. It omits the largest sections of one that exceeds a
// datagram, so that peers do not time out.
func encodeBody(b body) (Raw, error) {
	for {
		raw, err := cbor.Marshal(b)
		if err != nil || len(raw) <= maxDatagram-maxHeaderBytes {
			return raw, err
		}
		counters.Add("sections_left_out", 1)
		if !b.dropLargestSection() {
			return nil, errors.Wrapf(errTooLarge, "%d bytes", len(raw))
		}
	}
}

// dropLargestSection removes the largest section. It reports false if there is
// none. It copies the map of sections, which other digests share.
func (b *body) dropLargestSection() bool {
	size, name, zone := 0, "", -1
	consider := func(s sections, at int) {
		for n, raw := range s {
			if len(raw) > size {
				size, name, zone = len(raw), n, at
			}
		}
	}
	consider(b.Sections, -1)
	for i, z := range b.Zones {
		consider(z.Sections, i)
	}
	if name == "" {
		return false
	}
	if zone < 0 {
		b.Sections = maps.Clone(b.Sections)
		delete(b.Sections, name)
		return true
	}
	b.Zones = slices.Clone(b.Zones)
	b.Zones[zone].Sections = maps.Clone(b.Zones[zone].Sections)
	delete(b.Zones[zone].Sections, name)
	return true
}

// encodeDigest joins a header and an encoded body.
func encodeDigest(h header, encodedBody Raw) ([]byte, error) {
	raw, err := cbor.Marshal(h)
	if err != nil {
		return nil, err
	}
	return append(raw, encodedBody...), nil
}

func decodeDigest(raw []byte) (digest, error) {
	var d digest
	rest, err := cbor.UnmarshalFirst(raw, &d.header)
	if err != nil {
		return d, errors.Wrap(err, "decode header of digest")
	}
	return d, errors.Wrap(cbor.Unmarshal(rest, &d.body), "decode body of digest")
}
