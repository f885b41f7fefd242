package catalog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"slices"
	"time"
)

// versionRecord is one version of the list: the entry that it changed. The file holds one for each version.
type versionRecord struct {
	Version int64 `json:"index"`
	Entry   Entry `json:"entry"`
}

// rollBackTo restores the list from the records up to a version. Changes of later versions are announced
// again after reregisterDelay.
func (c *Catalog) rollBackTo(records []versionRecord, upTo int64) {
	former := c.changes
	c.restore(records, upTo)
	c.failCalls()
	again := time.Now().Add(reregisterDelay)
	for _, record := range former {
		if record.Version > c.version {
			c.pending = append(c.pending, pendingChange{again, record.Entry})
		}
	}
}

// commit stores an entry as the next version and applies it; false if it could not be stored.
func (c *Catalog) commit(entry Entry) bool {
	next := versionRecord{c.version + 1, entry}
	text, err := json.Marshal(next)
	if err != nil {
		panic(err) // cannot happen: the record holds only strings and numbers
	}
	if c.file.Append(fmt.Appendf(nil, "%08x %s\n", crc32.ChecksumIEEE(text), text)) != nil {
		return false
	}
	c.apply(next)
	return true
}

// apply changes the list by a record, and retains the record for watches.
func (c *Catalog) apply(record versionRecord) {
	c.version = record.Version
	record.applyTo(c.entries)
	c.referee.RecordListed(record.Entry.Name, record.Entry.Status == Serving, record.Entry.Since, time.Now())
	c.changes = append(c.changes, record)
	if over := len(c.changes) - c.config.RetainedChanges; over > 0 {
		c.changes = slices.Clone(c.changes[over:])
	}
}

// applyTo changes entries by the record.
func (r versionRecord) applyTo(entries map[string]Entry) {
	if r.Entry.Status == Deleted {
		delete(entries, r.Entry.Name)
		return
	}
	entries[r.Entry.Name] = r.Entry
}

// entriesAt returns the list at a version, from the file.
func (c *Catalog) entriesAt(version int64) map[string]Entry {
	entries := map[string]Entry{}
	for _, record := range c.readRecords(c.file.Bytes()) {
		if record.Version > version {
			break
		}
		record.applyTo(entries)
	}
	return entries
}

// readRecords parses the records of a file up to the first invalid one, and truncates the file there.
func (c *Catalog) readRecords(data []byte) []versionRecord {
	var out []versionRecord
	valid := 0
	for len(data) > valid {
		text, _, ok := bytes.Cut(data[valid:], []byte("\n"))
		var record versionRecord
		if !ok || len(text) < 10 || fmt.Sprintf("%08x", crc32.ChecksumIEEE(text[9:])) != string(text[:8]) ||
			json.Unmarshal(text[9:], &record) != nil {
			break
		}
		out = append(out, record)
		valid += len(text) + 1
	}
	c.file.Truncate(valid)
	return out
}

// restore rebuilds the list from the records up to a version, and truncates the file after that version.
func (c *Catalog) restore(records []versionRecord, upTo int64) {
	c.version, c.entries, c.changes = 0, map[string]Entry{}, nil
	c.referee.RecordListLost()
	valid := 0
	for _, record := range records {
		if record.Version > upTo {
			break
		}
		c.apply(record)
		text, _ := json.Marshal(record)
		valid += len(text) + 10
	}
	c.file.Truncate(valid)
}
