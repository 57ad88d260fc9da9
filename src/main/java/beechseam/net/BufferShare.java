package beechseam.net;

/**
 * The shares of the heap from which connections take read buffers above the standard size. The shares are apart so that
 * peers that send requests cannot take the memory for the responses to this process's own requests.
 */
public enum BufferShare {
    /** Requests, from any peer: a quarter of the heap, since hundreds of peers may each send half a message. */
    REQUESTS(4),
    /** Responses from peers that this process has sent a request: an eighth of the heap. */
    RESPONSES(8),
    /** Connections that are few: only the limit of each connection applies. */
    UNLIMITED(0);

    private final int heapDivisor;

    BufferShare(int heapDivisor) {
        this.heapDivisor = heapDivisor;
    }

    /** Returns the size of this share of a heap, in bytes. */
    long maxBytes(long heapBytes) {
        return heapDivisor == 0 ? Long.MAX_VALUE : heapBytes / heapDivisor;
    }
}
