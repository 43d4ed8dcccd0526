package savorypinmember

// Kinds of messages about orders to endpoints, in sorted order.
const (
	// FrameFence informs an agent of a new controller.
	FrameFence FrameKind = "fence"
	// FrameOrder sends an order to an endpoint.
	FrameOrder FrameKind = "order"
)

// Fence contains the fencing number of the controller of a service.
type Fence struct {
	Number  int64  `msgpack:"f"`
	Service string `msgpack:"svc"`
}

// Order is an order to an endpoint.
type Order struct {
	Action   string `msgpack:"act"`
	Adapter  string `msgpack:"ad"`
	Endpoint string `msgpack:"ep"`
	Fence    int64  `msgpack:"f"`
	Model    string `msgpack:"model"`
	// Name identifies the order, so that it is idempotent.
	Name    string `msgpack:"n"`
	Role    string `msgpack:"role"`
	Service string `msgpack:"svc"`
}
