package beechseam.http;

/** Input that is no proper HTTP, or more than is taken; the status to answer with. */
public final class HttpException extends Exception {
    private static final long serialVersionUID = 1;
    public final int status;

    public HttpException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }
}
