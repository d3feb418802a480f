package clayhook.protocol;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.util.Arrays;

/** A position in the bytes of a text, which is parsed from its start to its end without going back. */
final class ByteCursor {
    /** A set of bytes. */
    interface ByteSet {
        boolean contains(byte character);
    }

    private final byte[] text;
    private int position;

    ByteCursor(byte[] text) {
        this.text = text;
    }

    /** The offset of the next byte. */
    int position() {
        return position;
    }

    boolean isAtEnd() {
        return position == text.length;
    }

    /** Skips the given bytes if they are next; returns whether they are. */
    boolean skip(byte[] expected) {
        int end = position + expected.length;
        if (end > text.length || !Arrays.equals(text, position, end, expected, 0, expected.length)) {
            return false;
        }
        position = end;
        return true;
    }

    /** Skips white space: blanks, tabs, line feeds, vertical tabs, form feeds and carriage returns. */
    void skipWhitespace() {
        while (!isAtEnd() && isWhitespace(text[position])) {
            position++;
        }
    }

    private static boolean isWhitespace(byte character) {
        return character == ' ' || (character >= '\t' && character <= '\r');
    }

    /** Skips bytes that are written as two hexadecimal digits each. */
    void skipHexBytes() {
        while (position + 1 < text.length && isHexDigit(text[position]) && isHexDigit(text[position + 1])) {
            position += 2;
        }
    }

    private static boolean isHexDigit(byte character) {
        return (character >= '0' && character <= '9')
                || (character >= 'a' && character <= 'f')
                || (character >= 'A' && character <= 'F');
    }

    /** Takes the longest run of bytes of a set, but not more than {@code maxLength}, as ISO 8859-1 text. */
    String take(int maxLength, ByteSet set) {
        int start = position;
        while (!isAtEnd() && position - start < maxLength && set.contains(text[position])) {
            position++;
        }
        return new String(text, start, position - start, ISO_8859_1);
    }
}
