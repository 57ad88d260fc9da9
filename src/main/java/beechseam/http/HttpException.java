package beechseam.http;

/**
 * Thrown for input that is not well-formed HTTP or exceeds a limit. It has no stack trace, since any peer can cause it
 * as often as it likes.
 */
public final class HttpException extends Exception {
    private static final long serialVersionUID = 1;
    /** The status code of the answer. */
    public final int status;

    /** Creates an exception whose message is sent to the client together with the status. */
    public HttpException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    static HttpException bodyTooLong(long length, int maxBody) {
        return new HttpException(413, "a body of " + length + " bytes or more; " + maxBody + " is the most");
    }
}
