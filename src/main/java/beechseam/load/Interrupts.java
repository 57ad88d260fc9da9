package beechseam.load;

import java.io.InterruptedIOException;

/** Converts an interrupt for {@code close} methods that cannot throw {@link InterruptedException}. */
final class Interrupts {
    private Interrupts() {}

    /** Sets the thread's interrupt flag again, so that callers see it, and returns the exception to throw. */
    static InterruptedIOException toIOException(InterruptedException e) {
        Thread.currentThread().interrupt();
        InterruptedIOException converted = new InterruptedIOException("interrupted while closing");
        converted.initCause(e);
        return converted;
    }
}
