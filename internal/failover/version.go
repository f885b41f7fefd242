package failover

import (
	"errors"
	"fmt"
	"time"
)

// ErrStaleVersion means that an answer is older than one that was accepted before. The next member may have
// the newer version.
var ErrStaleVersion = errors.New("answer is older than one accepted before")

// AcceptedVersion is the version that a client accepted last. The zero value is that of a client without a
// version.
type AcceptedVersion struct {
	Epoch       string
	Version     int64
	ConfirmedAt time.Time // when a member last answered with this epoch
}

// Check returns an error that wraps ErrStaleVersion if an answer with this epoch and version must be
// discarded.
func (a AcceptedVersion) Check(epoch string, version int64, now time.Time) error {
	switch {
	case version >= a.Version:
		return nil
	case epoch == a.Epoch:
		return fmt.Errorf("%w: version %d is below %d", ErrStaleVersion, version, a.Version)
	case now.Sub(a.ConfirmedAt) < EpochWait:
		return fmt.Errorf("%w: version %d of epoch %q is below %d of epoch %q, which was confirmed %v ago",
			ErrStaleVersion, version, epoch, a.Version, a.Epoch,
			now.Sub(a.ConfirmedAt).Round(time.Millisecond))
	}
	return nil
}
