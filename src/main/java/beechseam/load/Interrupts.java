package beechseam.load;

import java.io.InterruptedIOException;

/** Interrupts of a thread that closes a resource, where {@code close} may throw no {@link InterruptedException}. */
final class Interrupts {
    private Interrupts() {}

    /** Sets the thread's interrupt again, so that its callers see it, and gives the exception to throw. */
    static InterruptedIOException toIOException(InterruptedException e) {
        Thread.currentThread().interrupt();
        InterruptedIOException converted = new InterruptedIOException("interrupted while closing");
        converted.initCause(e);
        return converted;
    }
}
