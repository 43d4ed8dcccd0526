package savorypingossip

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Age is how long ago something was, in whole milliseconds on the wire. It is rounded
// up, so that nothing looks fresher than it is.
type Age time.Duration

// Never is the age of what never was.
const Never = -Age(time.Millisecond)

var (
	_ msgpack.CustomEncoder = Age(0)
	_ msgpack.CustomDecoder = (*Age)(nil)
)

// EncodeMsgpack writes the age.
func (a Age) EncodeMsgpack(enc *msgpack.Encoder) error {
	ms := int64(a / Age(time.Millisecond))
	if a%Age(time.Millisecond) > 0 {
		ms++
	}
	return enc.EncodeInt(ms)
}

// DecodeMsgpack reads the age. One that does not fit becomes one that no check lets
// pass.
func (a *Age) DecodeMsgpack(dec *msgpack.Decoder) error {
	ms, err := dec.DecodeInt64()
	if err != nil {
		return err
	}
	most := int64(ageMost / time.Millisecond)
	*a = Age(max(-1, min(ms, most+1))) * Age(time.Millisecond)
	return nil
}
