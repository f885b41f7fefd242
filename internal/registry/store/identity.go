package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"

	"merlinpick/internal/atomicfile"
)

// Identity says whose a directory is.
type Identity struct {
	Member   string `json:"member"`
	Checksum uint32 `json:"sum"` // CRC-32C of Member
}

func encodeIdentity(member string) []byte {
	text, err := json.Marshal(Identity{member, crc32.Checksum([]byte(member), castagnoli)})
	if err != nil {
		panic(err) // a string and a number
	}
	return append(text, '\n')
}

func writeIdentity(dir, member string) error {
	return atomicfile.WriteFile(filepath.Join(dir, identityFile), encodeIdentity(member))
}

// readIdentity reports whether the directory is the member's; false if it is nobody's yet.
func readIdentity(dir, member string) (bool, error) {
	path := filepath.Join(dir, identityFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("read whose the directory is: %w", err)
	}
	var id Identity
	if err := json.Unmarshal(text, &id); err != nil || id.Checksum != crc32.Checksum([]byte(id.Member), castagnoli) {
		return false, fmt.Errorf("%s: %w%s", path, ErrDamaged, recoveryHint)
	}
	if id.Member != member {
		return false, fmt.Errorf("%s: %w: %q's, and this is %q; set name or dir", path, ErrWrongMember, id.Member, member)
	}
	return true, nil
}
