package beechseam.http;

import java.nio.ByteBuffer;

/**
 * A parser of consecutive HTTP/1.1 messages in a connection's buffer. The parts of a message are slices of that
 * buffer. The buffer may move between calls, so each call that has the complete head parses it again. Only relative
 * offsets are kept between calls: how far the end of the head was searched for, and where the next chunk begins.
 */
public final class HttpParser {
    /** The longest head, in bytes. */
    public static final int MAX_HEAD = 16 * 1024;
    /** The longest body of a job in the platform's protocol, in bytes. */
    public static final int MAX_BODY = 64 * 1024;
    /** The framing of a chunked body may take 1/8 of the longest body. */
    private static final int FRAMING_DIVISOR = 8;
    /** The required capacity of the buffer of a connection for jobs, in bytes. */
    public static final int MAX_MESSAGE = maxMessage(MAX_BODY);

    private static final int MAX_STATUS = 999;
    private static final long MAX_LENGTH = Long.MAX_VALUE / 100;
    private static final int ACCEPTED = 202;

    private enum State {
        HEAD,
        FRAMING,
        FIXED_LENGTH_BODY,
        CHUNKED_BODY,
        COMPLETE
    }

    private final boolean request;
    private final int maxBody;
    private final HeaderTable headers = new HeaderTable();
    private final ChunkedBody chunks;
    /** Bytes of the head already searched for its end. */
    private int searchedBytes;

    private State state = State.HEAD;
    private byte[] bytes;
    private int messageStart;
    private int limit;
    /** Index after the last parsed byte. */
    private int position;

    private int bodyLength;

    private Slice method = Slice.EMPTY;
    private Slice target = Slice.EMPTY;
    private Slice body = Slice.EMPTY;
    private int status;
    private boolean keepAlive;
    private boolean untilClose;

    /** Creates a parser of requests or responses with bodies of up to {@link #MAX_BODY} bytes. */
    public HttpParser(boolean request) {
        this(request, MAX_BODY);
    }

    /**
     * Creates a parser with its own limit.
     *
     * @param request true to parse requests, false to parse responses
     * @param maxBody the longest body in bytes; the message of the exception for a longer one has both lengths
     */
    public HttpParser(boolean request, int maxBody) {
        this.request = request;
        this.maxBody = maxBody;
        this.chunks = new ChunkedBody(maxBody, maxBody / FRAMING_DIVISOR);
    }

    /** Returns the buffer capacity, in bytes, that messages with bodies of up to {@code maxBody} bytes need. */
    public static int maxMessage(int maxBody) {
        return MAX_HEAD + maxBody + maxBody / FRAMING_DIVISOR;
    }

    /**
     * Parses one complete message and moves the buffer's position after it. The buffer must have an array.
     *
     * @return false, with the position unchanged, if more bytes are needed
     * @throws HttpException if the input is malformed or too long; the parser must not be used afterwards
     */
    public boolean parse(ByteBuffer in) throws HttpException {
        bytes = in.array();
        messageStart = in.arrayOffset() + in.position();
        limit = in.arrayOffset() + in.limit();
        state = State.HEAD;
        while (state != State.COMPLETE) {
            boolean advanced = switch (state) {
                case HEAD -> readHead();
                case FRAMING -> chooseFraming();
                case FIXED_LENGTH_BODY -> readFixedLengthBody();
                case CHUNKED_BODY -> readChunkedBody();
                case COMPLETE -> throw new IllegalStateException("complete");
            };
            if (!advanced) {
                return false;
            }
        }
        in.position(position - in.arrayOffset());
        searchedBytes = 0;
        chunks.reset();
        return true;
    }

    private boolean readHead() throws HttpException {
        int start = messageStart;
        if (request) { // line ends before a request are skipped
            while (start < limit && (bytes[start] == '\r' || bytes[start] == '\n')) {
                start++;
            }
        }
        int end = ByteSearch.endOfHead(bytes, start + Math.max(0, searchedBytes - 3), limit);
        if (end < 0) {
            searchedBytes = limit - start;
        }
        if ((end < 0 ? limit : end) - start > MAX_HEAD) {
            throw new HttpException(431, "the head is longer than " + MAX_HEAD + " bytes");
        }
        if (end < 0) {
            return false;
        }
        int line = ByteSearch.indexOfLineEnd(bytes, start, end);
        readFirstLine(start, line);
        headers.clear();
        for (int at = line + 2; at < end - 2; at = line + 2) {
            line = ByteSearch.indexOfLineEnd(bytes, at, end);
            headers.add(bytes, at, line);
        }
        position = end;
        state = State.FRAMING;
        return true;
    }

    private void readFirstLine(int start, int line) throws HttpException {
        int first = ByteSearch.indexOf(bytes, ' ', start, line);
        int second = first < 0 ? -1 : ByteSearch.indexOf(bytes, ' ', first + 1, line);
        if (first <= start
                || request && (second <= first + 1 || ByteSearch.indexOf(bytes, ' ', second + 1, line) >= 0)) {
            throw new HttpException(400, "a malformed first line");
        }
        Slice version;
        if (request) {
            method = new Slice(bytes, start, first - start);
            target = new Slice(bytes, first + 1, second - first - 1);
            version = new Slice(bytes, second + 1, line - second - 1);
            if (!method.isToken()) {
                throw new HttpException(400, "a malformed method");
            }
            if (!target.isVisible()) {
                throw new HttpException(400, "a malformed target");
            }
        } else {
            version = new Slice(bytes, start, first - start);
            status = (int) number(new Slice(bytes, first + 1, (second < 0 ? line : second) - first - 1), MAX_STATUS);
        }
        if (!version.same("HTTP/1.1") && !version.same("HTTP/1.0")) {
            throw new HttpException(request ? 505 : 400, "not HTTP/1.1");
        }
        keepAlive = bytes[version.from() + 7] != '0';
    }

    private boolean chooseFraming() throws HttpException {
        Slice connection = headers.get("connection");
        if (connection != null) {
            keepAlive = connection.listContains("close") ? false : keepAlive || connection.listContains("keep-alive");
        }
        long length = -1;
        boolean chunked = false;
        untilClose = false;
        for (int i = 0; i < headers.count(); i++) {
            if (headers.name(i).is("content-length")) {
                long value = number(headers.value(i), MAX_LENGTH);
                if (length >= 0) { // also if both are equal: no peer repeats the header by mistake
                    throw new HttpException(400, "conflicting lengths");
                }
                length = value;
            } else if (headers.name(i).is("transfer-encoding")) {
                if (chunked || !headers.value(i).is("chunked")) {
                    throw new HttpException(request ? 501 : 400, "an unknown transfer encoding");
                }
                chunked = true;
            }
        }
        if (chunked && length >= 0) {
            throw new HttpException(400, "conflicting lengths");
        }
        checkBodyLength(length);
        if (chunked) {
            state = State.CHUNKED_BODY;
            return true;
        }
        bodyLength = (int) Math.max(0, length < 0 && !request ? lengthWithoutHeader() : length);
        state = State.FIXED_LENGTH_BODY;
        return true;
    }

    /** Body length of a response without a length header; if the close ends it, the bytes that have arrived. */
    private int lengthWithoutHeader() throws HttpException {
        if (status == ACCEPTED) {
            keepAlive = false; // the end of its body, if it has one, cannot be found
            return 0;
        }
        if (status == 204 || status == 304 || status < 200) {
            return 0;
        }
        untilClose = true;
        checkBodyLength(limit - position);
        return limit - position;
    }

    private void checkBodyLength(long length) throws HttpException {
        if (length > maxBody) {
            throw HttpException.bodyTooLong(length, maxBody);
        }
    }

    private boolean readFixedLengthBody() {
        if (limit - position < bodyLength) {
            return false;
        }
        body = new Slice(bytes, position, bodyLength);
        position += bodyLength;
        state = State.COMPLETE;
        return true;
    }

    private boolean readChunkedBody() throws HttpException {
        if (!chunks.decode(bytes, messageStart, position, limit)) {
            return false;
        }
        body = chunks.body();
        position = chunks.end();
        state = State.COMPLETE;
        return true;
    }

    private static long number(Slice text, long max) throws HttpException {
        long number = 0;
        for (int i = 0; i < text.length(); i++) {
            int digit = text.bytes()[text.from() + i] - '0';
            if (digit < 0 || digit > 9) {
                throw new HttpException(400, "a malformed number");
            }
            number = Math.min(max, number * 10 + digit);
        }
        if (text.length() == 0) {
            throw new HttpException(400, "a malformed number");
        }
        return number;
    }

    /** Returns the request's method; this and all other parts of a message are valid until the buffer changes. */
    public Slice method() {
        return method;
    }

    /** Returns the request's target, with its query. */
    public Slice target() {
        return target;
    }

    /** Returns the request's target without its query. */
    public Slice path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.part(0, query);
    }

    /** Returns the response's status code, from 0 to 999. */
    public int status() {
        return status;
    }

    /** Returns the decoded body; empty if there is none. */
    public Slice body() {
        return body;
    }

    /** Returns whether the connection may be used for a further message. */
    public boolean keepAlive() {
        return keepAlive;
    }

    /** Whether the response's body ends at the connection's close; {@link #body} then has the bytes received so far. */
    public boolean untilClose() {
        return untilClose;
    }

    /** Returns the first value of the header with this name, or null; the name must be in lower case. */
    public Slice header(String lowerCaseName) {
        return headers.get(lowerCaseName);
    }
}
