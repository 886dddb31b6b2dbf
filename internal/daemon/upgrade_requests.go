package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"yardwinch/internal/admin"
	"yardwinch/internal/handover"
	"yardwinch/internal/protocol"
)

// This file has the successor's handlers for requests of the predecessor, which gets the texts of their errors.

// handleRequestChange decides on a change that an operator requested at the predecessor. The reply says whether the
// server is unknown.
func (d *Daemon) handleRequestChange(ctx context.Context, request handover.Request) (handover.Response, error) {
	var change handover.Change
	if err := json.Unmarshal(request.Body, &change); err != nil {
		return handover.Response{}, fmt.Errorf("decode change: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case <-d.lifecycle.started:
	case <-ctx.Done():
		return handover.Response{}, errors.New("not ready")
	}
	d.changeMu.Lock()
	// No need to wait until the predecessor has applied the change: the link keeps messages in order, and the
	// predecessor applies the change before it reads this reply.
	_, err := d.decideChange(ctx, change)
	d.changeMu.Unlock()
	if errors.Is(err, admin.ErrUnknownServer) {
		return handover.Response{Body: true}, nil
	}
	d.awaitSaved(ctx)
	return handover.Response{Body: false}, err
}

// handleClaimID claims a flow id for the predecessor. The reply says whether the id was already taken.
func (d *Daemon) handleClaimID(_ context.Context, request handover.Request) (handover.Response, error) {
	var hash uint64
	if err := json.Unmarshal(request.Body, &hash); err != nil {
		return handover.Response{}, fmt.Errorf("decode id hash: %w", err)
	}
	return handover.Response{Body: d.frontend.ClaimHash(hash)}, nil
}

// handleDescriptorUsage records how many descriptors the predecessor has in use.
func (d *Daemon) handleDescriptorUsage(_ context.Context, request handover.Request) (handover.Response, error) {
	var count int
	if err := json.Unmarshal(request.Body, &count); err != nil || count < 0 {
		return handover.Response{}, errors.New("invalid descriptor count")
	}
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	if d.predecessor != nil {
		d.descriptorBudget.SetLent(count)
	}
	return handover.Response{}, nil
}

// handleTransfer takes over an established connection of the predecessor.
func (d *Daemon) handleTransfer(_ context.Context, request handover.Request) (handover.Response, error) {
	var established protocol.EstablishedConnection
	if err := json.Unmarshal(request.Body, &established); err != nil {
		return handover.Response{}, fmt.Errorf("decode connection: %w", err)
	}
	if !established.IsValid() || len(request.Files) != 2 {
		return handover.Response{}, errors.New("invalid connection")
	}
	if d.lifecycle.isOutOfService() { // the predecessor drains this connection; the drain of this process could miss it
		return handover.Response{}, errors.New("out of service")
	}
	var ends [2]net.Conn
	for i, file := range request.Files {
		conn, err := net.FileConn(file)
		if err != nil {
			return handover.Response{}, errors.Join(err, closeAll(ends[:i]))
		}
		ends[i] = conn
	}
	serve, drop, err := d.frontend.AdoptConnection(established, ends[0], ends[1], d.descriptorBudget)
	if err != nil {
		return handover.Response{}, errors.Join(err, closeAll(ends[:]))
	}
	// Nothing is relayed before the reply is sent: if this process exits earlier the predecessor keeps serving the
	// connection.
	return handover.Response{AfterSend: func(sent bool) {
		if sent {
			d.goroutines.Go(serve)
		} else {
			drop()
		}
	}}, nil
}

func closeAll(conns []net.Conn) (err error) {
	for _, conn := range conns {
		err = errors.Join(err, conn.Close())
	}
	return err
}
