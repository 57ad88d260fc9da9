package beechseam.http;

import java.nio.charset.StandardCharsets;

/** A run of bytes in a buffer; void once the buffer moves on. */
public record Slice(byte[] bytes, int from, int length) {
    static final Slice EMPTY = new Slice(new byte[0], 0, 0);

    /** Whether it is this word, whatever the case; the word is in lower case. */
    public boolean is(String lower) {
        if (length != lower.length()) {
            return false;
        }
        for (int i = 0; i < length; i++) {
            int c = bytes[from + i];
            if ((c >= 'A' && c <= 'Z' ? c + 32 : c) != lower.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** Whether it is exactly this text. */
    public boolean same(String text) {
        return length == text.length() && startsWith(text);
    }

    /** Whether it is a word as methods and header names are: letters, digits and some signs. */
    public boolean isToken() {
        for (int i = from; i < from + length; i++) {
            int c = bytes[i];
            boolean good = c >= 'a' && c <= 'z'
                    || c >= 'A' && c <= 'Z'
                    || c >= '0' && c <= '9'
                    || c > 0 && "!#$%&'*+-.^_`|~".indexOf(c) >= 0;
            if (!good) {
                return false;
            }
        }
        return length > 0;
    }

    /** Whether it is not empty and holds visible ASCII characters only, and no blank. */
    public boolean isVisible() {
        for (int i = from; i < from + length; i++) {
            if (bytes[i] <= ' ' || bytes[i] == 127) {
                return false;
            }
        }
        return length > 0;
    }

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

    /** Whether a comma-separated list holds this word, in lower case. */
    public boolean lists(String lower) {
        for (String each : toString().split(",")) {
            if (each.trim().equalsIgnoreCase(lower)) {
                return true;
            }
        }
        return false;
    }

    public int indexOf(char c) {
        for (int i = 0; i < length; i++) {
            if (bytes[from + i] == c) {
                return i;
            }
        }
        return -1;
    }

    public Slice part(int start, int end) {
        return new Slice(bytes, from + start, end - start);
    }

    /** A copy that outlives the buffer. */
    public byte[] copy() {
        return java.util.Arrays.copyOfRange(bytes, from, from + length);
    }

    @Override
    public String toString() {
        return new String(bytes, from, length, StandardCharsets.ISO_8859_1);
    }
}
