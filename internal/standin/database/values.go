package database

import (
	"encoding/binary"
	"encoding/hex"
	"math"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	standinv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/standin/v1"
)

// PostgreSQL type OIDs that the stand-in supports.
const (
	oidBool   = 16
	oidBytea  = 17
	oidInt8   = 20
	oidInt2   = 21
	oidInt4   = 23
	oidText   = 25
	oidFloat4 = 700
	oidFloat8 = 701
)

// varlenaSize is the size that a row description has for types of variable length.
const varlenaSize = -1

// typesOf infers each column's type from its values that are not NULL; a column of
// several types is text, and one without values has OID 0.
func typesOf(columns int, rows [][]any) []uint32 {
	types := make([]uint32, columns)
	for i := range types {
		for _, row := range rows {
			oid := oidOf(row[i])
			if types[i] == 0 {
				types[i] = oid
			}
			if oid != 0 && oid != types[i] {
				types[i] = oidText
				break
			}
		}
	}
	return types
}

func oidOf(value any) uint32 {
	switch value.(type) {
	case int64:
		return oidInt8
	case float64:
		return oidFloat8
	case []byte:
		return oidBytea
	case string:
		return oidText
	}
	return 0
}

func rowDescription(columns []string, types []uint32, formats []int16) *pgproto3.RowDescription {
	description := &pgproto3.RowDescription{}
	for i, name := range columns {
		oid, size := types[i], int16(varlenaSize)
		switch oid {
		case oidInt8, oidFloat8:
			size = 8
		case 0:
			oid = oidText
		}
		description.Fields = append(description.Fields, pgproto3.FieldDescription{
			Name: []byte(name), DataTypeOID: oid, DataTypeSize: size, TypeModifier: -1,
			Format: formatAt(formats, i),
		})
	}
	return description
}

// formatAt returns the format of column or parameter i. As in the protocol, no
// formats mean text, and a single one applies to all.
func formatAt(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return pgproto3.TextFormat
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return pgproto3.TextFormat
}

// encodeRow encodes one row in the given types and formats.
func encodeRow(row []any, types []uint32, formats []int16) (*pgproto3.DataRow, error) {
	data := &pgproto3.DataRow{Values: make([][]byte, len(row))}
	for i, value := range row {
		if value == nil {
			continue
		}
		if formatAt(formats, i) == pgproto3.TextFormat {
			data.Values[i] = encodeText(value)
			continue
		}
		encoded, err := encodeBinary(value, types[i])
		if err != nil {
			return nil, err
		}
		data.Values[i] = encoded
	}
	return data, nil
}

func encodeText(value any) []byte {
	switch v := value.(type) {
	case int64:
		return strconv.AppendInt(nil, v, 10)
	case float64:
		return strconv.AppendFloat(nil, v, 'g', -1, 64)
	case []byte:
		return []byte(`\x` + hex.EncodeToString(v))
	case string:
		return []byte(v)
	}
	return nil
}

func encodeBinary(value any, oid uint32) ([]byte, error) {
	text := string(encodeText(value))
	switch oid {
	case oidInt8:
		n, err := strconv.ParseInt(text, 10, 64)
		return binary.BigEndian.AppendUint64(nil, uint64(n)), textEncodingError(err)
	case oidFloat8:
		f, err := strconv.ParseFloat(text, 64)
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(f)), textEncodingError(err)
	case oidBytea:
		if blob, ok := value.([]byte); ok {
			return blob, nil
		}
	}
	return []byte(text), nil
}

func textEncodingError(err error) error {
	if err == nil {
		return nil
	}
	return newSQLError(codeBadTextEncoding, "value does not fit the type of its column")
}

// decodeArgument decodes one parameter of a Bind message.
func decodeArgument(data []byte, oid uint32, format int16) (*standinv1.Value, error) {
	if data == nil {
		return &standinv1.Value{}, nil
	}
	if format == pgproto3.BinaryFormat {
		return decodeBinary(data, oid)
	}
	return decodeText(string(data), oid)
}

func decodeText(text string, oid uint32) (*standinv1.Value, error) {
	switch oid {
	case oidBytea:
		blob, err := hex.DecodeString(strings.TrimPrefix(text, `\x`))
		return blobValue(blob), textEncodingError(err)
	case oidFloat4, oidFloat8:
		f, err := strconv.ParseFloat(text, 64)
		return realValue(f), textEncodingError(err)
	case oidBool:
		return integerValue(boolToInt(strings.HasPrefix(strings.ToLower(text), "t") || text == "1")), nil
	case oidInt2, oidInt4, oidInt8:
		n, err := strconv.ParseInt(text, 10, 64)
		return integerValue(n), textEncodingError(err)
	case 0:
		return inferValue(text), nil
	}
	return textValue(text), nil
}

// inferValue converts a text of unspecified type: to an integer if it is the
// integer's canonical form, to text otherwise.
func inferValue(text string) *standinv1.Value {
	n, err := strconv.ParseInt(text, 10, 64)
	if err == nil && strconv.FormatInt(n, 10) == text {
		return integerValue(n)
	}
	return textValue(text)
}

func decodeBinary(data []byte, oid uint32) (*standinv1.Value, error) {
	switch {
	case oid == oidBool && len(data) == 1:
		return integerValue(int64(data[0])), nil
	case oid == oidInt2 && len(data) == 2:
		return integerValue(int64(int16(binary.BigEndian.Uint16(data)))), nil
	case oid == oidInt4 && len(data) == 4:
		return integerValue(int64(int32(binary.BigEndian.Uint32(data)))), nil
	case oid == oidInt8 && len(data) == 8:
		return integerValue(int64(binary.BigEndian.Uint64(data))), nil
	case oid == oidFloat8 && len(data) == 8:
		return realValue(math.Float64frombits(binary.BigEndian.Uint64(data))), nil
	case oid == oidBytea || oid == 0:
		return blobValue(data), nil
	case oid == oidText:
		return textValue(string(data)), nil
	}
	return nil, newSQLError(codeBadTextEncoding, "unsupported binary parameter")
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func integerValue(n int64) *standinv1.Value {
	return &standinv1.Value{Kind: &standinv1.Value_Integer{Integer: n}}
}

func realValue(f float64) *standinv1.Value {
	return &standinv1.Value{Kind: &standinv1.Value_Real{Real: f}}
}

func textValue(text string) *standinv1.Value {
	return &standinv1.Value{Kind: &standinv1.Value_Text{Text: text}}
}

func blobValue(blob []byte) *standinv1.Value {
	return &standinv1.Value{Kind: &standinv1.Value_Blob{Blob: append([]byte{}, blob...)}}
}
