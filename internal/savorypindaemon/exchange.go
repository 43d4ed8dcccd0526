package savorypindaemon

import (
	"context"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
	"savorypin/internal/savorypinmember"
)

func (d *Daemon) logChanged(objects []savorypin.Object) {
	for _, o := range objects {
		d.logger.Info("Configuration in force", "object", o.Key, "version", o.Version)
	}
}

func (d *Daemon) sendExchanges(ctx context.Context, envelopes []savorypinconfig.Envelope) {
	for _, e := range envelopes {
		d.tasks.start(func() { d.sendExchange(ctx, e) })
	}
}

func (d *Daemon) sendExchange(ctx context.Context, e savorypinconfig.Envelope) {
	callCtx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	answer, err := savorypinmember.Call[savorypinconfig.Message, savorypinconfig.Message](
		callCtx, d.transport, e.Address, savorypinmember.FrameConfig, e.Message)
	if err != nil {
		d.logger.Debug("Failed to exchange configuration with a peer", "address", e.Address, "err", err)
		return
	}
	d.sendExchanges(ctx, d.distributor.HandleReply(e.Address, answer))
}

func (d *Daemon) handleExchange(
	ctx context.Context,
	_ savorypinmember.Hello,
	req savorypinconfig.Message,
) (savorypinconfig.Message, error) {
	answer, envelopes := d.distributor.HandleRequest(req)
	d.sendExchanges(context.WithoutCancel(ctx), envelopes)
	return answer, nil
}

func (d *Daemon) handleVersion(
	_ context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.VersionQuery,
) (savorypinmember.VersionAnswer, error) {
	o, _ := d.Config().Object(req.Key)
	return savorypinmember.VersionAnswer{Version: o.Version}, nil
}
