package beechseam.http;

/** Input that is not well-formed HTTP, or exceeds a limit. It carries no stack trace: peers can cause it at will. */
public final class HttpException extends Exception {
    private static final long serialVersionUID = 1;
    /** The status to answer with. */
    public final int status;

    /** The message is sent to the client together with the status. */
    public HttpException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    static HttpException bodyTooLong(long length, int maxBody) {
        return new HttpException(413, "a body of " + length + " bytes or more; " + maxBody + " is the most");
    }
}
