package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxNesting bounds how deeply the arrays and maps of a record are nested. The deepest record has
// 6 levels; a newer version may add some.
const maxNesting = 32

// Errors of a record whose encoding contradicts its size.
var (
	errCutOff = errors.New("it ends within a value")
	errNested = fmt.Errorf("its values are nested more than %d levels deep", maxNesting)
)

// splitValue returns what follows the first encoded value of data, after a check that each length
// within the value fits the data. The decoder allocates what a length says before it reads on.
func splitValue(data []byte) (rest []byte, err error) {
	// left holds how many values are to come in the value itself and in the arrays and maps
	// that enclose the current one.
	left := make([]uint64, 1, maxNesting+1)
	left[0] = 1
	for len(left) > 0 {
		if left[len(left)-1] == 0 {
			left = left[:len(left)-1]
			continue
		}
		left[len(left)-1]--
		size, values, err := readHeader(data)
		if err != nil {
			return nil, err
		}
		data = data[size:]
		if values > uint64(len(data)) { // a value has at least one byte
			return nil, fmt.Errorf("an array or map of %d values in %d bytes: %w", values, len(data), errCutOff)
		}
		if values == 0 {
			continue
		}
		if len(left) > maxNesting {
			return nil, errNested
		}
		left = append(left, values)
	}
	return data, nil
}

// readHeader returns the size of the value at the beginning of data and how many values it
// contains. The size of an array or map does not include its values.
func readHeader(data []byte) (size int, values uint64, err error) {
	if len(data) == 0 {
		return 0, 0, errCutOff
	}
	code := data[0]
	lengthBytes, contained := lengthOf(code)
	if len(data) < 1+lengthBytes {
		return 0, 0, errCutOff
	}
	var length uint64
	switch lengthBytes {
	case 1:
		length = uint64(data[1])
	case 2:
		length = uint64(binary.BigEndian.Uint16(data[1:]))
	case 4:
		length = uint64(binary.BigEndian.Uint32(data[1:]))
	}
	size = 1 + lengthBytes
	switch {
	case contained > 0:
		return size, length * contained, nil
	case msgpcode.IsFixedArray(code):
		return size, uint64(code & msgpcode.FixedArrayMask), nil
	case msgpcode.IsFixedMap(code):
		return size, 2 * uint64(code&msgpcode.FixedMapMask), nil
	}
	length += fixedBytes(code)
	if length > uint64(len(data)-size) {
		return 0, 0, fmt.Errorf("a value of %d bytes in %d: %w", length, len(data)-size, errCutOff)
	}
	return size + int(length), 0, nil
}

// lengthOf returns how many bytes of length follow a code, and for an array or map how many
// values the length counts.
func lengthOf(code byte) (lengthBytes int, values uint64) {
	switch code {
	case msgpcode.Str8, msgpcode.Bin8, msgpcode.Ext8:
		return 1, 0
	case msgpcode.Str16, msgpcode.Bin16, msgpcode.Ext16:
		return 2, 0
	case msgpcode.Str32, msgpcode.Bin32, msgpcode.Ext32:
		return 4, 0
	case msgpcode.Array16:
		return 2, 1
	case msgpcode.Array32:
		return 4, 1
	case msgpcode.Map16:
		return 2, 2
	case msgpcode.Map32:
		return 4, 2
	}
	return 0, 0
}

// fixedBytes returns how many bytes follow a code and its length beside those that the length
// counts.
func fixedBytes(code byte) uint64 {
	switch code {
	case msgpcode.Uint8, msgpcode.Int8, msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		return 1
	case msgpcode.Uint16, msgpcode.Int16, msgpcode.FixExt1:
		return 2
	case msgpcode.FixExt2:
		return 3
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 4
	case msgpcode.FixExt4:
		return 5
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 8
	case msgpcode.FixExt8:
		return 9
	case msgpcode.FixExt16:
		return 17
	}
	if msgpcode.IsFixedString(code) {
		return uint64(code & msgpcode.FixedStrMask)
	}
	return 0
}
