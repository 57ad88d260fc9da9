package beechseam.http;

import java.nio.ByteBuffer;

/**
 * Reads one HTTP/1.1 message after the other from a connection's buffer. A message's parts are slices of
 * that buffer. Between calls it keeps only how far the head has been searched and the chunks have been
 * followed, so that a message costs time in proportion to its length, in however many pieces it comes.
 */
public final class HttpParser {
    public static final int MAX_HEAD = 16 * 1024;
    /** The longest body of a job, by the platform's protocol. */
    public static final int MAX_BODY = 64 * 1024;
    /** The frames of a chunked body may add this share of the longest body. */
    private static final int FRAME_SHARE = 8;
    /** The most that the buffer of a connection for jobs must hold. */
    public static final int MAX_MESSAGE = maxMessage(MAX_BODY);

    private static final int MAX_CHUNK_LINE = 1024;
    private static final int MAX_HEADERS = 64;

    private final boolean request;
    private final int maxBody;
    private final Slice[] names = new Slice[MAX_HEADERS];
    private final Slice[] values = new Slice[MAX_HEADERS];
    private int count;
    private int searched;
    /** Offset from the message's start of the first chunk that has not come whole; 0 before the first. */
    private int nextChunk;

    private int chunkedLength;
    private byte[] b;
    private Slice method = Slice.EMPTY;
    private Slice target = Slice.EMPTY;
    private Slice body = Slice.EMPTY;
    private int status;
    private boolean keepAlive;
    private boolean untilClose;

    /** For messages with bodies of jobs. */
    public HttpParser(boolean request) {
        this(request, MAX_BODY);
    }

    /**
     * @param request whether it reads requests, or else responses
     * @param maxBody the longest body in bytes; a longer one is refused, and both lengths are told
     */
    public HttpParser(boolean request, int maxBody) {
        this.request = request;
        this.maxBody = maxBody;
    }

    /** The most bytes that a buffer must hold for a message whose body has up to {@code maxBody} bytes. */
    public static int maxMessage(int maxBody) {
        return MAX_HEAD + maxBody + maxBody / FRAME_SHARE;
    }

    /** Takes a whole message off the buffer; false when more bytes are needed. */
    public boolean parse(ByteBuffer in) throws HttpException {
        b = in.array();
        int from = in.arrayOffset() + in.position();
        int to = in.arrayOffset() + in.limit();
        int start = from;
        if (request) { // a stray line end between requests is passed over
            while (start < to && (b[start] == '\r' || b[start] == '\n')) {
                start++;
            }
        }
        int headEnd = endOfHead(start, to);
        if (headEnd < 0) {
            if (to - start > MAX_HEAD) {
                throw new HttpException(431, "the head is longer than " + MAX_HEAD + " bytes");
            }
            return false;
        }
        if (headEnd - start > MAX_HEAD) {
            throw new HttpException(431, "the head is longer than " + MAX_HEAD + " bytes");
        }
        head(start, headEnd);
        int end = body(from, headEnd, to);
        if (end < 0) {
            return false;
        }
        in.position(end - in.arrayOffset());
        searched = 0;
        nextChunk = 0;
        chunkedLength = 0;
        return true;
    }

    private int endOfHead(int start, int to) {
        for (int i = start + Math.max(0, searched - 3); i + 3 < to; i++) {
            if (b[i] == '\r' && b[i + 1] == '\n' && b[i + 2] == '\r' && b[i + 3] == '\n') {
                return i + 4;
            }
        }
        searched = to - start;
        return -1;
    }

    private void head(int start, int end) throws HttpException {
        int line = lineEnd(start, end);
        int first = find(' ', start, line);
        int second = first < 0 ? -1 : find(' ', first + 1, line);
        if (first <= start || request && (second <= first + 1 || find(' ', second + 1, line) >= 0)) {
            throw new HttpException(400, "a malformed first line");
        }
        Slice version;
        if (request) {
            method = new Slice(b, start, first - start);
            target = new Slice(b, first + 1, second - first - 1);
            version = new Slice(b, second + 1, line - second - 1);
            if (!method.isToken()) {
                throw new HttpException(400, "a malformed method");
            }
            if (!target.isVisible()) {
                throw new HttpException(400, "a malformed target");
            }
        } else {
            version = new Slice(b, start, first - start);
            status = (int) number(new Slice(b, first + 1, (second < 0 ? line : second) - first - 1), 999);
        }
        if (!version.same("HTTP/1.1") && !version.same("HTTP/1.0")) {
            throw new HttpException(request ? 505 : 400, "not HTTP/1.1");
        }
        keepAlive = b[version.from() + 7] != '0';
        count = 0;
        for (int at = line + 2; at < end - 2; at = line + 2) {
            line = lineEnd(at, end);
            header(at, line);
        }
    }

    private void header(int at, int line) throws HttpException {
        int colon = find(':', at, line);
        // No blanks, line ends or odd bytes in a name: peers differ in what they take such a line for.
        if (colon <= at || !new Slice(b, at, colon - at).isToken()) {
            throw new HttpException(400, "a malformed header line");
        }
        if (count == MAX_HEADERS) {
            throw new HttpException(431, "more than " + MAX_HEADERS + " headers");
        }
        int from = colon + 1;
        int to = line;
        while (from < to && (b[from] == ' ' || b[from] == '\t')) {
            from++;
        }
        while (to > from && (b[to - 1] == ' ' || b[to - 1] == '\t')) {
            to--;
        }
        for (int i = from; i < to; i++) { // a bare line end inside could smuggle a header past us
            if (b[i] >= 0 && b[i] < ' ' && b[i] != '\t' || b[i] == 127) {
                throw new HttpException(400, "a malformed header value");
            }
        }
        names[count] = new Slice(b, at, colon - at);
        values[count++] = new Slice(b, from, to - from);
    }

    private int body(int message, int from, int to) throws HttpException {
        Slice connection = header("connection");
        if (connection != null) {
            keepAlive = connection.lists("close") ? false : keepAlive || connection.lists("keep-alive");
        }
        long length = -1;
        boolean chunked = false;
        untilClose = false;
        for (int i = 0; i < count; i++) {
            if (names[i].is("content-length")) {
                long each = number(values[i], Long.MAX_VALUE / 100);
                if (length >= 0) { // also where both are the same: nobody sends that by mistake
                    throw new HttpException(400, "conflicting lengths");
                }
                length = each;
            } else if (names[i].is("transfer-encoding")) {
                if (chunked || !values[i].is("chunked")) {
                    throw new HttpException(request ? 501 : 400, "an unknown transfer encoding");
                }
                chunked = true;
            }
        }
        if (chunked && length >= 0) {
            throw new HttpException(400, "conflicting lengths");
        }
        if (length > maxBody) {
            throw tooLong(length);
        }
        if (chunked) {
            return chunks(message, from, to);
        }
        if (length < 0 && !request && status != 204 && status != 304 && status != 202 && status >= 200) {
            untilClose = true;
            length = to - from;
            if (length > maxBody) {
                throw tooLong(length);
            }
        }
        if (length < 0 && !request && status == 202) {
            keepAlive = false; // its body, if any, has no end that could be seen
        }
        int size = (int) Math.max(0, length);
        if (to - from < size) {
            return -1;
        }
        body = new Slice(b, from, size);
        return from + size;
    }

    private HttpException tooLong(long length) {
        return new HttpException(413, "a body of " + length + " bytes or more; " + maxBody + " is the most");
    }

    /** Finds the end of a chunked body, and only then draws the chunks together in place. */
    private int chunks(int message, int from, int to) throws HttpException {
        int at = Math.max(from, message + nextChunk);
        while (true) {
            int line = find('\n', at, to);
            if (line < 0) {
                if (to - at > MAX_CHUNK_LINE) {
                    throw new HttpException(400, "a malformed chunk");
                }
                return -1;
            }
            if (line == at || b[line - 1] != '\r') { // a bare line end: others may see another chunk
                throw new HttpException(400, "a malformed chunk");
            }
            int size = chunkSize(at, line);
            int total = chunkedLength + size;
            if (total > maxBody) {
                throw tooLong(total);
            }
            int frames = line + 1 - from - total;
            if (frames > maxBody / FRAME_SHARE) {
                throw new HttpException(
                        413,
                        "chunks whose frames take " + frames + " bytes or more; " + maxBody / FRAME_SHARE
                                + " is the most");
            }
            if (size == 0) {
                return trailers(from, line + 1, to);
            }
            int end = line + 1 + size;
            if (to - end < 2) {
                return -1;
            }
            if (b[end] != '\r' || b[end + 1] != '\n') {
                throw new HttpException(400, "a malformed chunk");
            }
            at = end + 2;
            nextChunk = at - message;
            chunkedLength = total;
        }
    }

    /** Passes over the trailers; the chunks, which begin at {@code from}, have all come. */
    private int trailers(int from, int trailer, int to) throws HttpException {
        int at = trailer;
        for (boolean last = false; !last; ) {
            int line = find('\n', at, to);
            if (line < 0) {
                return -1;
            }
            if (line == at || b[line - 1] != '\r') {
                throw new HttpException(400, "a malformed trailer");
            }
            last = line - at == 1;
            at = line + 1;
        }
        joinChunks(from, to);
        return at;
    }

    private void joinChunks(int from, int to) throws HttpException {
        int read = from;
        int write = from;
        for (int size; (size = chunkSize(read, find('\n', read, to))) > 0; ) {
            int data = find('\n', read, to) + 1;
            System.arraycopy(b, data, b, write, size);
            write += size;
            read = data + size + 2;
        }
        body = new Slice(b, from, chunkedLength);
    }

    private int chunkSize(int at, int line) throws HttpException {
        int size = 0;
        int digits = 0;
        for (int i = at; i < line - 1 && b[i] != ';'; i++) {
            int digit = Character.digit(b[i], 16);
            if (digit < 0 || ++digits > 6) {
                throw new HttpException(400, "a malformed chunk");
            }
            size = size * 16 + digit;
        }
        if (digits == 0) {
            throw new HttpException(400, "a malformed chunk");
        }
        return size;
    }

    private static long number(Slice s, long most) throws HttpException {
        long n = 0;
        for (int i = 0; i < s.length(); i++) {
            int digit = s.bytes()[s.from() + i] - '0';
            if (digit < 0 || digit > 9) {
                throw new HttpException(400, "a malformed number");
            }
            n = Math.min(most, n * 10 + digit);
        }
        if (s.length() == 0) {
            throw new HttpException(400, "a malformed number");
        }
        return n;
    }

    private int lineEnd(int from, int to) {
        for (int i = from; i + 1 < to; i++) {
            if (b[i] == '\r' && b[i + 1] == '\n') {
                return i;
            }
        }
        return to;
    }

    private int find(char c, int from, int to) {
        for (int i = from; i < to; i++) {
            if (b[i] == c) {
                return i;
            }
        }
        return -1;
    }

    // ---- The message last read

    public Slice method() {
        return method;
    }

    public Slice target() {
        return target;
    }

    /** The target without its query. */
    public Slice path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.part(0, query);
    }

    public int status() {
        return status;
    }

    public Slice body() {
        return body;
    }

    public boolean keepAlive() {
        return keepAlive;
    }

    /** A response whose body ends with the connection: what has come so far is in {@link #body}. */
    public boolean untilClose() {
        return untilClose;
    }

    /** A header's value by its name in lower case, or null. */
    public Slice header(String lower) {
        for (int i = 0; i < count; i++) {
            if (names[i].is(lower)) {
                return values[i];
            }
        }
        return null;
    }
}
