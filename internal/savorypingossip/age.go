package savorypingossip

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Age is the time since an event. It is encoded in whole milliseconds, rounded up so that
// nothing appears fresher than it is.
type Age time.Duration

// Never is the age of an event that has not happened.
const Never = -Age(time.Millisecond)

var (
	_ msgpack.CustomEncoder = Age(0)
	_ msgpack.CustomDecoder = (*Age)(nil)
)

// EncodeMsgpack encodes the age as an integer number of milliseconds.
func (a Age) EncodeMsgpack(enc *msgpack.Encoder) error {
	ms := int64(a / Age(time.Millisecond))
	if a%Age(time.Millisecond) > 0 {
		ms++
	}
	return enc.EncodeInt(ms)
}

// DecodeMsgpack decodes the age. A negative value becomes Never, and one above maxAge is clamped
// to 1 ms more than maxAge, which is over all limits on ages.
func (a *Age) DecodeMsgpack(dec *msgpack.Decoder) error {
	ms, err := dec.DecodeInt64()
	if err != nil {
		return err
	}
	limit := int64(maxAge / time.Millisecond)
	*a = Age(max(-1, min(ms, limit+1))) * Age(time.Millisecond)
	return nil
}
