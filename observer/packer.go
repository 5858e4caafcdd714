package observer

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

// minPackedBytes is the size of a value from which it is compressed. The values of most
// tables are smaller, and not worth the processor time.
const minPackedBytes = 16 << 10

// packer compresses large values for other processes, each one once. The zero value is ready
// to use. Its methods may be called concurrently.
type packer struct {
	mu sync.Mutex
	// packed holds the compressed value of the newest record of each key with a large one.
	packed map[packedKey]packedValue
}

// packedKey identifies a record. A view has other values than its table.
type packedKey struct{ table, key string }

// packedValue is the compressed value of the record at an offset of an epoch.
type packedValue struct {
	epoch, offset uint64
	lost          bool
	bytes         []byte
}

// pack replaces large values of the items of a table by compressed ones. The lock is held
// meanwhile, so that many readers of a new value don't each compress it.
func (p *packer) pack(table string, c connector.Changes) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, i := range c.Items {
		k := packedKey{table, i.Key}
		if len(i.Value) < minPackedBytes {
			delete(p.packed, k)
			continue
		}
		o, ok := p.packed[k]
		if !ok || o.epoch != c.Epoch || o.offset != i.Offset || o.lost != i.Lost {
			b, err := compress(i.Value)
			if err != nil {
				return errors.Wrapf(err, "compress record %.40q", i.Key)
			}
			if p.packed == nil {
				p.packed = make(map[packedKey]packedValue)
			}
			o = packedValue{c.Epoch, i.Offset, i.Lost, b}
			p.packed[k] = o
		}
		c.Items[n].Value, c.Items[n].Packed = nil, o.bytes
	}
	return nil
}

func compress(value []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	err = w.Close()
	return b.Bytes(), err
}

// unpack restores the compressed values of items. All of them together have at most
// maxResponseBytes.
func unpack(items []connector.Item) error {
	left := int64(maxResponseBytes)
	for n, i := range items {
		if i.Packed == nil {
			continue
		}
		if i.Value != nil {
			return errors.Newf("record %.40q has two values", i.Key)
		}
		b, err := unpackValue(i.Packed, left)
		if err != nil {
			return errors.Wrapf(err, "record %.40q", i.Key)
		}
		left -= int64(len(b))
		items[n].Value, items[n].Packed = b, nil
	}
	return nil
}

// unpackValue returns a value of at most limit bytes.
func unpackValue(packed []byte, limit int64) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	if int64(len(b)) > limit {
		return nil, errors.New("the value is too long")
	}
	return b, nil
}
