package savorypinmember

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"net"
	"time"

	"savorypin/internal/savorypin"
)

// Hello is how a daemon identifies itself when a connection opens.
type Hello struct {
	// Domain is the failure domain of the daemon.
	Domain string `msgpack:"dom"`
	// Name is the name of the member.
	Name string `msgpack:"n"`
	// Nonce is a random value for which the peer has to prove that it knows the shared key.
	Nonce []byte `msgpack:"nonce"`
	// Region is the region of the daemon.
	Region string `msgpack:"reg"`
	// Role is the role of the daemon.
	Role savorypin.Role `msgpack:"role"`
}

// proof proves that its sender knows the shared key of the daemons.
type proof struct {
	Sum []byte `msgpack:"sum"`
}

const nonceBytes = 16

// handshake exchanges hellos and proofs. Both ends send before they read, so that it takes
// only two one-way delays, the time of one round trip.
func handshake(conn net.Conn, r *bufio.Reader, self Hello, key []byte, timeout time.Duration) (Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return Hello{}, fmt.Errorf("%w: %w", ErrHandshake, err)
	}
	self.Nonce = make([]byte, nonceBytes)
	_, _ = rand.Read(self.Nonce)
	peer, err := exchange(conn, r, frameHello, self)
	if err != nil {
		return Hello{}, err
	}
	// A proof is bound to the name of its sender, so that it can't be reflected to that
	// sender.
	peerProof, err := exchange(conn, r, frameProof, proof{Sum: sign(key, peer.Nonce, self.Name)})
	if err != nil {
		return Hello{}, err
	}
	if !hmac.Equal(peerProof.Sum, sign(key, self.Nonce, peer.Name)) {
		return Hello{}, fmt.Errorf("%w: %s does not know the shared key of the daemons", ErrHandshake, peer.Name)
	}
	if peer.Name == self.Name {
		return Hello{}, fmt.Errorf("%w: peer has the same name %s", ErrHandshake, peer.Name)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return Hello{}, fmt.Errorf("%w: %w", ErrHandshake, err)
	}
	return peer, nil
}

func exchange[T any](conn net.Conn, r *bufio.Reader, kind FrameKind, own T) (T, error) {
	var none T
	data, err := EncodeFrame(kind, 0, own)
	if err != nil {
		return none, err
	}
	if _, err := conn.Write(data); err != nil {
		return none, fmt.Errorf("%w: send %s: %w", ErrHandshake, kind, err)
	}
	f, err := ReadFrame(r)
	if err != nil {
		return none, fmt.Errorf("%w: receive %s: %w", ErrHandshake, kind, err)
	}
	if f.Kind != kind {
		return none, fmt.Errorf("%w: received a frame of kind %q instead of %q", ErrHandshake, f.Kind, kind)
	}
	return Decode[T](f)
}

func sign(key, nonce []byte, name string) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(nonce)
	_, _ = mac.Write([]byte(name))
	return mac.Sum(nil)
}
