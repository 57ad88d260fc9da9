package beechseam.http;

/** The header lines of one message, in order, as slices of the connection's buffer. */
final class HeaderTable {
    private static final int MAX_HEADERS = 64;

    private final Slice[] names = new Slice[MAX_HEADERS];
    private final Slice[] values = new Slice[MAX_HEADERS];
    private int count;

    void clear() {
        count = 0;
    }

    int count() {
        return count;
    }

    Slice name(int index) {
        return names[index];
    }

    Slice value(int index) {
        return values[index];
    }

    /** Returns the first value of the header with this name, or null; the name must be in lower case. */
    Slice get(String lowerCaseName) {
        for (int i = 0; i < count; i++) {
            if (names[i].is(lowerCaseName)) {
                return values[i];
            }
        }
        return null;
    }

    /** Adds the header line that begins at {@code lineStart}; {@code lineEnd} is the index of its CR. */
    void add(byte[] bytes, int lineStart, int lineEnd) throws HttpException {
        int colon = ByteSearch.indexOf(bytes, ':', lineStart, lineEnd);
        // A name with blanks, line ends or other invalid bytes is rejected: implementations parse such lines
        // differently.
        if (colon <= lineStart || !new Slice(bytes, lineStart, colon - lineStart).isToken()) {
            throw new HttpException(400, "a malformed header line");
        }
        if (count == MAX_HEADERS) {
            throw new HttpException(431, "more than " + MAX_HEADERS + " headers");
        }
        int from = colon + 1;
        int to = lineEnd;
        while (from < to && (bytes[from] == ' ' || bytes[from] == '\t')) {
            from++;
        }
        while (to > from && (bytes[to - 1] == ' ' || bytes[to - 1] == '\t')) {
            to--;
        }
        for (int i = from; i < to; i++) { // a bare CR or LF in a value could smuggle in a header
            if (bytes[i] >= 0 && bytes[i] < ' ' && bytes[i] != '\t' || bytes[i] == 127) {
                throw new HttpException(400, "a malformed header value");
            }
        }
        names[count] = new Slice(bytes, lineStart, colon - lineStart);
        values[count] = new Slice(bytes, from, to - from);
        count++;
    }
}
