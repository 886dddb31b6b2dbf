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

// What a predecessor requests of this process, its successor. The texts of errors reach the predecessor.

// answerChange makes a change that an operator called for at the predecessor. The reply says whether the server is
// unknown.
func (d *Daemon) answerChange(ctx context.Context, request handover.Request) (handover.Response, error) {
	var change handover.Change
	if err := json.Unmarshal(request.Body, &change); err != nil {
		return handover.Response{}, fmt.Errorf("decode a change: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case <-d.lifecycle.started:
	case <-ctx.Done():
		return handover.Response{}, errors.New("not ready")
	}
	d.changeMu.Lock()
	// The predecessor applies the change before it reads this reply, as messages keep their order: there is
	// nothing to wait for.
	_, err := d.decideChange(ctx, change)
	d.changeMu.Unlock()
	if errors.Is(err, admin.ErrUnknown) {
		return handover.Response{Body: true}, nil
	}
	d.awaitSaved(ctx)
	return handover.Response{Body: false}, err
}

// answerClaim takes an id for the predecessor. The reply says whether it was taken before.
func (d *Daemon) answerClaim(_ context.Context, request handover.Request) (handover.Response, error) {
	var hash uint64
	if err := json.Unmarshal(request.Body, &hash); err != nil {
		return handover.Response{}, fmt.Errorf("decode the hash of an id: %w", err)
	}
	return handover.Response{Body: d.frontend.ClaimHash(hash)}, nil
}

// notePredecessorUsage records how many descriptors the predecessor has in use.
func (d *Daemon) notePredecessorUsage(_ context.Context, request handover.Request) (handover.Response, error) {
	var count int
	if err := json.Unmarshal(request.Body, &count); err != nil || count < 0 {
		return handover.Response{}, errors.New("no count")
	}
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	if d.predecessor != nil {
		d.descriptorBudget.SetLent(count)
	}
	return handover.Response{}, nil
}

// receiveConnection takes over an established connection of the predecessor.
func (d *Daemon) receiveConnection(_ context.Context, request handover.Request) (handover.Response, error) {
	var established protocol.EstablishedConnection
	if err := json.Unmarshal(request.Body, &established); err != nil {
		return handover.Response{}, fmt.Errorf("decode a connection: %w", err)
	}
	if !established.IsValid() || len(request.Files) != 2 {
		return handover.Response{}, errors.New("no connection")
	}
	if d.lifecycle.isOutOfService() { // the predecessor drains its own clients; here the drain may have passed this one
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
	// Nothing is relayed before the reply is sent: should this process end in between, the predecessor keeps
	// serving the connection.
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
