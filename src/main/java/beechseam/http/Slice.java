package beechseam.http;

import java.nio.charset.StandardCharsets;

/**
 * A range of bytes in a buffer, read as ISO 8859-1; void once the buffer moves on.
 *
 * @param from index of the first byte in the array
 */
public record Slice(byte[] bytes, int from, int length) {
    static final Slice EMPTY = new Slice(new byte[0], 0, 0);

    /** Whether it equals this word, ignoring ASCII case; the argument must be in lower case. */
    public boolean is(String lower) {
        if (length != lower.length()) {
            return false;
        }
        for (int i = 0; i < length; i++) {
            int character = bytes[from + i];
            if ((character >= 'A' && character <= 'Z' ? character + 32 : character) != lower.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** Whether it equals this ASCII text, case included. */
    public boolean same(String text) {
        return length == text.length() && startsWith(text);
    }

    /** Whether it is a token (RFC 9110, 5.6.2), as methods and header names are; an empty one is not. */
    public boolean isToken() {
        for (int i = from; i < from + length; i++) {
            int character = bytes[i];
            boolean allowed = character >= 'a' && character <= 'z'
                    || character >= 'A' && character <= 'Z'
                    || character >= '0' && character <= '9'
                    || character > 0 && "!#$%&'*+-.^_`|~".indexOf(character) >= 0;
            if (!allowed) {
                return false;
            }
        }
        return length > 0;
    }

    /** Whether it is not empty and holds only visible ASCII characters, no blank among them. */
    public boolean isVisible() {
        for (int i = from; i < from + length; i++) {
            if (bytes[i] <= ' ' || bytes[i] == 127) {
                return false;
            }
        }
        return length > 0;
    }

    /** Whether it begins with this ASCII text, case included. */
    public boolean startsWith(String text) {
        if (length < text.length()) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (bytes[from + i] != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** Whether it is a comma-separated list with this element, ignoring case. */
    public boolean lists(String lower) {
        for (String element : toString().split(",")) {
            if (element.trim().equalsIgnoreCase(lower)) {
                return true;
            }
        }
        return false;
    }

    /** Offset of the first such character from the start of this slice, or -1. */
    public int indexOf(char wanted) {
        for (int i = 0; i < length; i++) {
            if (bytes[from + i] == wanted) {
                return i;
            }
        }
        return -1;
    }

    /** The bytes between two offsets from the start of this slice, {@code end} exclusive; not copied. */
    public Slice part(int start, int end) {
        return new Slice(bytes, from + start, end - start);
    }

    /** A copy of the bytes that outlives the buffer. */
    public byte[] copy() {
        return java.util.Arrays.copyOfRange(bytes, from, from + length);
    }

    @Override
    public String toString() {
        return new String(bytes, from, length, StandardCharsets.ISO_8859_1);
    }
}
