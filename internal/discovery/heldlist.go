package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"merlinpick/internal/failover"
)

// MaxHeldListBytes is the longest encoding of a HeldList: a held list gathers the entries of several answers.
const MaxHeldListBytes = 2 * maxListBytes

// HeldList is a full list and the source that it comes from, as one process of a proxy tells it to another.
type HeldList struct {
	Source Source
	List   *List
	// HighestVersion is the highest version that the process has held in this source and epoch. It is above the
	// list's if discovery has begun to count anew.
	HighestVersion int64
}

// Precedes reports whether the list is older than another one of the same source and epoch, whose version the
// process that holds the list has never held. Versions of different sources and epochs are not comparable.
func (h HeldList) Precedes(source Source, list *List) bool {
	return source.Equal(h.Source) && list.Epoch == h.List.Epoch && list.Version > h.HighestVersion
}

// heldListMessage is the encoding of a HeldList.
type heldListMessage struct {
	Address        string          `json:"address,omitempty"`
	Members        []string        `json:"members,omitempty"`
	HighestVersion int64           `json:"highest_version"`
	List           json.RawMessage `json:"list"`
}

// Encode returns the list as JSON.
func (h HeldList) Encode() []byte {
	text, err := json.Marshal(heldListMessage{h.Source.Address, h.Source.Members, h.HighestVersion, h.List.encode()})
	if err != nil {
		panic(err) // cannot happen: strings, and JSON
	}
	return text
}

// ParseHeldList decodes what Encode has returned. It returns an error if any entry is malformed, or if the
// list is not a full one.
func ParseHeldList(data []byte) (HeldList, error) {
	var message heldListMessage
	if err := json.Unmarshal(data, &message); err != nil {
		return HeldList{}, fmt.Errorf("held endpoint list: %w", err)
	}
	list, err := Parse(message.List)
	if err == nil && !list.Snapshot {
		err = errors.New("not a full list")
	}
	if err != nil {
		return HeldList{}, fmt.Errorf("held endpoint list: %w", err)
	}
	return HeldList{Source{Address: message.Address, Members: message.Members}, list, message.HighestVersion}, nil
}

// InheritList makes the client start from the list of a process that this one takes over from. If it comes
// from another source, the first call requests the full list. It must be called before Run.
func (c *Client) InheritList(held HeldList) {
	if held.Source.Equal(c.source) {
		c.SetInitialList(held.List)
	}
}

// AdoptList takes over the list that another process of the proxy holds, and publishes it, if it is newer than
// the held one. Until discovery has answered this process, a list of the other process counts as newer unless it
// precedes the held one. It may be called from any goroutine, and returns once the update is received or the
// context has ended.
func (c *Client) AdoptList(ctx context.Context, other HeldList) {
	c.holding.Lock()
	defer c.holding.Unlock()
	if !c.isNewer(other) {
		return
	}
	c.log.Info("endpoint list adopted from another process of the proxy", "version", other.List.Version,
		"endpoints", len(other.List.Endpoints))
	c.hold(other)
	c.publish(ctx.Done(), Update{List: other.List, Source: other.Source, FromOtherProcess: true, HighestVersion: other.HighestVersion})
}

// isNewer reports whether the list of another process replaces the held one.
func (c *Client) isNewer(other HeldList) bool {
	held := &List{Version: c.platform.version}
	if len(c.source.Members) > 0 {
		held = &List{Version: c.registry.accepted.Version, Epoch: c.registry.accepted.Epoch}
	}
	switch {
	case !c.confirmed:
		return !other.Precedes(c.heldFrom, held)
	case !other.Source.Equal(c.source):
		return false
	case !c.heldFrom.Equal(c.source): // the held list is of an earlier source
		return true
	}
	return other.List.Epoch == held.Epoch && other.List.Version > held.Version
}

// hold makes the list of another process the held one. The next call continues from it, or requests the full
// list if it comes from another source.
func (c *Client) hold(other HeldList) {
	c.heldFrom = other.Source
	sameSource := other.Source.Equal(c.source)
	if len(c.source.Members) == 0 {
		c.platform.version = -1
		if sameSource {
			c.platform.version = other.List.Version
		}
		return
	}
	c.registry.missingSince = map[string]time.Time{}
	c.retained.Store(0)
	if sameSource {
		c.registry.sourceChanged = false
		c.registry.replaceEndpoints(other.List)
	} else {
		c.registry.endpoints, c.registry.accepted = nil, failover.AcceptedVersion{}
	}
}

// supersededError means that an answer does not apply to the held list, since the list of another process of
// the proxy has replaced the one that the call was made with. The answer is discarded.
type supersededError struct{ calledWith, held, received int64 }

func (e *supersededError) Error() string {
	return fmt.Sprintf("answer of version %d to a call with version %d: version %d was adopted meanwhile", e.received,
		e.calledWith, e.held)
}

// logSuperseded logs that an answer is discarded.
func (c *Client) logSuperseded(err error) {
	c.log.Info("answer of discovery discarded", "address", c.source, "reason", err)
}
