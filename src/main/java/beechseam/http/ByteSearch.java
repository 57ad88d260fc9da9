package beechseam.http;

/** Searches a range of bytes, from {@code from} inclusive to {@code to} exclusive. */
final class ByteSearch {
    private static final int HEAD_END_LENGTH = 4;

    private ByteSearch() {}

    /** Returns the index of the first {@code wanted} byte, or -1. */
    static int indexOf(byte[] bytes, char wanted, int from, int to) {
        for (int i = from; i < to; i++) {
            if (bytes[i] == wanted) {
                return i;
            }
        }
        return -1;
    }

    /** Returns the index of the first CR LF, or {@code to}. */
    static int indexOfLineEnd(byte[] bytes, int from, int to) {
        for (int i = from; i + 1 < to; i++) {
            if (bytes[i] == '\r' && bytes[i + 1] == '\n') {
                return i;
            }
        }
        return to;
    }

    /** Returns the index after the first CR LF CR LF, or -1. */
    static int endOfHead(byte[] bytes, int from, int to) {
        for (int i = from; i + HEAD_END_LENGTH - 1 < to; i++) {
            if (bytes[i] == '\r' && bytes[i + 1] == '\n' && bytes[i + 2] == '\r' && bytes[i + 3] == '\n') {
                return i + HEAD_END_LENGTH;
            }
        }
        return -1;
    }
}
