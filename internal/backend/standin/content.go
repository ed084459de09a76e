package standin

import "io"

// block is the repeated part of every answer.
var block = makeBlock()

func makeBlock() []byte {
	b := make([]byte, blockBytes)
	for i := range b {
		b[i] = byte(i*7 + i>>8)
	}
	return b
}

// contentReader is an answer of a given size: a prefix that names the order,
// then a pattern. It implements io.WriterTo without copying the pattern.
type contentReader struct {
	prefix string
	size   int64
	at     int64
}

// WriteTo writes the rest of the content.
func (c *contentReader) WriteTo(w io.Writer) (int64, error) {
	start := c.at
	for c.at < c.size {
		n, err := w.Write(c.next(blockBytes))
		c.at += int64(n)
		if err != nil {
			return c.at - start, err
		}
	}
	return c.at - start, nil
}

// Read reads the content.
func (c *contentReader) Read(p []byte) (int, error) {
	if c.at >= c.size {
		return 0, io.EOF
	}
	n := copy(p, c.next(len(p)))
	c.at += int64(n)
	return n, nil
}

// next returns up to limit bytes at the present offset.
func (c *contentReader) next(limit int) []byte {
	rest := block[int(c.at)%blockBytes:]
	if c.at < int64(len(c.prefix)) {
		rest = []byte(c.prefix[c.at:])
	}
	return rest[:min(int64(len(rest)), int64(limit), c.size-c.at)]
}
