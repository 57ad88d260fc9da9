package beechseam.http;

import java.nio.charset.StandardCharsets;

/**
 * A range of bytes in a buffer, read as ISO 8859-1. It is valid until the buffer changes.
 *
 * @param from index of the first byte in the array
 */
public record Slice(byte[] bytes, int from, int length) {
    static final Slice EMPTY = new Slice(new byte[0], 0, 0);

    /** Returns whether the text equals the argument, ignoring ASCII case; the argument must be in lower case. */
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

    /** Returns whether the text equals this ASCII text; the comparison is case-sensitive. */
    public boolean same(String text) {
        return length == text.length() && startsWith(text);
    }

    /** Returns whether the text is a token (RFC 9110, 5.6.2), as methods and header names are; an empty one is not. */
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

    /** Returns whether the text is not empty and has only visible ASCII characters, without blanks. */
    public boolean isVisible() {
        for (int i = from; i < from + length; i++) {
            if (bytes[i] <= ' ' || bytes[i] == 127) {
                return false;
            }
        }
        return length > 0;
    }

    /** Returns whether the text begins with this ASCII text; the comparison is case-sensitive. */
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

    /** Returns whether the text is a comma-separated list that contains this element, ignoring case. */
    public boolean listContains(String wanted) {
        for (String element : toString().split(",")) {
            if (element.trim().equalsIgnoreCase(wanted)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the offset of the first {@code wanted} character from the start of this slice, or -1. */
    public int indexOf(char wanted) {
        for (int i = 0; i < length; i++) {
            if (bytes[from + i] == wanted) {
                return i;
            }
        }
        return -1;
    }

    /** Returns the bytes between two offsets from the start of this slice, {@code end} exclusive, without a copy. */
    public Slice part(int start, int end) {
        return new Slice(bytes, from + start, end - start);
    }

    /** Returns a copy of the bytes, which stays valid when the buffer changes. */
    public byte[] copy() {
        return java.util.Arrays.copyOfRange(bytes, from, from + length);
    }

    @Override
    public String toString() {
        return new String(bytes, from, length, StandardCharsets.ISO_8859_1);
    }
}
