package beechseam.http;

/**
 * Decodes a chunked body in place. Each call continues after the last complete chunk, and the chunks are joined only
 * once all have arrived, so the cost is proportional to the length of the body, however it is fragmented.
 */
final class ChunkedBody {
    private static final int MAX_CHUNK_LINE_BYTES = 1024;
    private static final int MAX_SIZE_DIGITS = 6;

    private final int maxBody;
    private final int maxFraming;
    /** Offset from the message's start to the first incomplete chunk; 0 before the first chunk. */
    private int nextChunkOffset;
    /** Bytes of data in the complete chunks before {@link #nextChunkOffset}. */
    private int dataLength;

    private byte[] bytes;
    private int bodyStart;
    private int limit;
    private Slice body = Slice.EMPTY;
    private int end;

    /** Creates a decoder with the limits, in bytes, of the data and of the framing of its chunks. */
    ChunkedBody(int maxBody, int maxFraming) {
        this.maxBody = maxBody;
        this.maxFraming = maxFraming;
    }

    /** Discards the state of the current message. */
    void reset() {
        nextChunkOffset = 0;
        dataLength = 0;
    }

    /** Returns the decoded data; valid once {@link #decode} has returned true. */
    Slice body() {
        return body;
    }

    /** Returns the index after the message; valid once {@link #decode} has returned true. */
    int end() {
        return end;
    }

    /**
     * Decodes the bytes that have arrived; returns false if more are needed.
     *
     * @param messageStart the index of the message's first byte in this call's buffer; all calls for a message must
     *     mean the same byte
     */
    boolean decode(byte[] buffer, int messageStart, int from, int to) throws HttpException {
        bytes = buffer;
        bodyStart = from;
        limit = to;
        int position = Math.max(from, messageStart + nextChunkOffset);
        while (true) {
            int line = ByteSearch.indexOf(bytes, '\n', position, limit);
            if (line < 0) {
                if (limit - position > MAX_CHUNK_LINE_BYTES) {
                    throw malformedChunk();
                }
                return false;
            }
            if (line == position || bytes[line - 1] != '\r') { // a bare LF: peers may parse another chunk from it
                throw malformedChunk();
            }
            int size = chunkSize(position, line);
            int total = dataLength + size;
            checkLimits(line, total);
            if (size == 0) {
                return skipTrailers(line + 1);
            }
            int chunkEnd = line + 1 + size;
            if (limit - chunkEnd < 2) {
                return false;
            }
            if (bytes[chunkEnd] != '\r' || bytes[chunkEnd + 1] != '\n') {
                throw malformedChunk();
            }
            position = chunkEnd + 2;
            nextChunkOffset = position - messageStart;
            dataLength = total;
        }
    }

    private void checkLimits(int line, int total) throws HttpException {
        if (total > maxBody) {
            throw HttpException.bodyTooLong(total, maxBody);
        }
        int framing = line + 1 - bodyStart - total;
        if (framing > maxFraming) {
            throw new HttpException(
                    413, "chunks whose frames take " + framing + " bytes or more; " + maxFraming + " is the most");
        }
    }

    private boolean skipTrailers(int trailersStart) throws HttpException {
        int position = trailersStart;
        boolean last = false;
        while (!last) {
            int line = ByteSearch.indexOf(bytes, '\n', position, limit);
            if (line < 0) {
                return false;
            }
            if (line == position || bytes[line - 1] != '\r') {
                throw new HttpException(400, "a malformed trailer");
            }
            last = line - position == 1;
            position = line + 1;
        }
        joinChunks();
        end = position;
        return true;
    }

    private void joinChunks() throws HttpException {
        int read = bodyStart;
        int write = bodyStart;
        int line = ByteSearch.indexOf(bytes, '\n', read, limit);
        for (int size = chunkSize(read, line); size > 0; size = chunkSize(read, line)) {
            System.arraycopy(bytes, line + 1, bytes, write, size);
            write += size;
            read = line + 1 + size + 2;
            line = ByteSearch.indexOf(bytes, '\n', read, limit);
        }
        body = new Slice(bytes, bodyStart, dataLength);
    }

    private int chunkSize(int lineStart, int line) throws HttpException {
        int size = 0;
        int digits = 0;
        for (int i = lineStart; i < line - 1 && bytes[i] != ';'; i++) {
            int digit = Character.digit(bytes[i], 16);
            if (digit < 0 || ++digits > MAX_SIZE_DIGITS) {
                throw malformedChunk();
            }
            size = size * 16 + digit;
        }
        if (digits == 0) {
            throw malformedChunk();
        }
        return size;
    }

    private static HttpException malformedChunk() {
        return new HttpException(400, "a malformed chunk");
    }
}
