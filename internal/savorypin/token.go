package savorypin

// Token is one generated token. Its fields are exported for the codecs.
type Token struct {
	// ID is the index of the token in the vocabulary of the model.
	ID int32 `json:"id" msgpack:"i"`
	// Text is the text of the token.
	Text string `json:"text" msgpack:"t"`
}

// FinishReason says why an answer ended.
type FinishReason string

// The reasons for which an answer ends.
const (
	// FinishCancelled means that the caller cancelled the generation.
	FinishCancelled FinishReason = "cancelled"
	// FinishLength means that the answer reached its maximum length.
	FinishLength FinishReason = "length"
	// FinishStop means that the model ended the answer.
	FinishStop FinishReason = "stop"
)

// Generation is a caller's request for a generation. Its fields are exported for the
// codecs.
type Generation struct {
	ID           GenerationID `msgpack:"id"`
	MaxTokens    int          `msgpack:"max"`
	Organisation string       `msgpack:"org"`
	Priority     int          `msgpack:"pri"`
	Prompt       string       `msgpack:"prompt"`
	Route        string       `msgpack:"route"`
	Seed         int64        `msgpack:"seed"`
	Service      string       `msgpack:"svc"`
	Temperature  float64      `msgpack:"temp"`
}
