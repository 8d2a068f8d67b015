package itemlist

import "unicode/utf8"

// EncodedSize returns the size of a text as a JSON string, without the quotes. Markup and
// control characters take up to six times their size.
func EncodedSize(text string) int {
	n := 0
	for i := 0; i < len(text); {
		c, width := rune(text[i]), 1
		if c >= utf8.RuneSelf {
			c, width = utf8.DecodeRuneInString(text[i:])
		}
		switch {
		case c == '"' || c == '\\' || c == '\n' || c == '\r' || c == '\t' || c == '\b' || c == '\f':
			n += 2
		case c < ' ' || c == '<' || c == '>' || c == '&' || c == '\u2028' || c == '\u2029' || c == utf8.RuneError && width == 1:
			n += 6
		default:
			n += width
		}
		i += width
	}
	return n
}
