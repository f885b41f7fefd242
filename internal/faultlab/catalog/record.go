package catalog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"slices"
	"time"
)

// change is one version of the list.
type change struct {
	Index int64 `json:"index"`
	Entry Entry `json:"entry"`
}

// back begins again from these records, up to a version. What was told after that is told again.
func (c *Catalog) back(records []change, upTo int64) {
	former := c.changes
	c.restore(records, upTo)
	c.drop()
	again := time.Now().Add(registerAgain)
	for _, v := range former {
		if v.Index > c.index {
			c.pending = append(c.pending, due{again, v.Entry})
		}
	}
}

// tell makes an entry the next version. A disk that takes no record of it keeps the version from coming about.
func (c *Catalog) notify(e Entry) bool {
	next := change{c.index + 1, e}
	text, err := json.Marshal(next)
	if err != nil {
		panic(err) // a struct of strings and numbers
	}
	if c.file.Append(fmt.Appendf(nil, "%08x %s\n", crc32.ChecksumIEEE(text), text)) != nil {
		return false
	}
	c.apply(next)
	return true
}

func (c *Catalog) apply(v change) {
	c.index = v.Index
	v.applyTo(c.entries)
	c.ref.RecordListed(v.Entry.Name, v.Entry.Status == Serving, v.Entry.Since, time.Now())
	c.changes = append(c.changes, v)
	if over := len(c.changes) - c.cfg.Retain; over > 0 {
		c.changes = slices.Clone(c.changes[over:])
	}
}

func (v change) applyTo(entries map[string]Entry) {
	if v.Entry.Status == Deleted {
		delete(entries, v.Entry.Name)
		return
	}
	entries[v.Entry.Name] = v.Entry
}

// asOf is the list as it was at a version.
func (c *Catalog) asOf(version int64) map[string]Entry {
	entries := map[string]Entry{}
	for _, v := range c.read(c.file.Bytes()) {
		if v.Index > version {
			break
		}
		v.applyTo(entries)
	}
	return entries
}

// read takes the records of a file up to the first that is torn.
func (c *Catalog) read(data []byte) []change {
	var out []change
	whole := 0
	for len(data) > whole {
		text, _, ok := bytes.Cut(data[whole:], []byte("\n"))
		var v change
		if !ok || len(text) < 10 || fmt.Sprintf("%08x", crc32.ChecksumIEEE(text[9:])) != string(text[:8]) ||
			json.Unmarshal(text[9:], &v) != nil {
			break
		}
		out = append(out, v)
		whole += len(text) + 1
	}
	c.file.Truncate(whole)
	return out
}

// restore begins from these records, up to a version.
func (c *Catalog) restore(records []change, upTo int64) {
	c.index, c.entries, c.changes = 0, map[string]Entry{}, nil
	c.ref.RecordListLost()
	whole := 0
	for _, v := range records {
		if v.Index > upTo {
			break
		}
		c.apply(v)
		text, _ := json.Marshal(v)
		whole += len(text) + 10
	}
	c.file.Truncate(whole)
}
