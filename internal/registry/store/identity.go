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

// Identity is the content of the file that names the member to which a directory belongs.
type Identity struct {
	Member   string `json:"member"`
	Checksum uint32 `json:"sum"` // CRC-32C of Member
}

func encodeIdentity(member string) []byte {
	text, err := json.Marshal(Identity{member, crc32.Checksum([]byte(member), castagnoli)})
	if err != nil {
		panic(err) // cannot happen: the fields are a string and a number
	}
	return append(text, '\n')
}

func writeIdentity(dir, member string) error {
	return atomicfile.WriteFile(filepath.Join(dir, identityFile), encodeIdentity(member))
}

// readIdentity reports whether the directory belongs to the member. It returns false if there is no identity
// file, and an error that wraps ErrWrongMember if the directory belongs to another member.
func readIdentity(dir, member string) (bool, error) {
	path := filepath.Join(dir, identityFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("read the identity of the member's directory: %w", err)
	}
	var id Identity
	if err := json.Unmarshal(text, &id); err != nil || id.Checksum != crc32.Checksum([]byte(id.Member), castagnoli) {
		return false, fmt.Errorf("%s: %w%s", path, ErrDamaged, recoveryHint)
	}
	if id.Member != member {
		return false, fmt.Errorf("%s: %w: it belongs to %q, and this member is %q; correct name or dir",
			path, ErrWrongMember, id.Member, member)
	}
	return true, nil
}
