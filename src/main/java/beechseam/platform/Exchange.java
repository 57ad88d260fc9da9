package beechseam.platform;

import beechseam.http.HttpParser;
import java.nio.ByteBuffer;

/** One request to an executor and its answer. */
abstract class Exchange {
    /** Where it is under way, from its first byte to its answer. */
    EgressConnection connection;

    /** Asked just before the first byte: false drops it, and it sees itself to whom it owes word. */
    abstract boolean wanted();

    abstract ByteBuffer bytes();

    /** Its last byte has gone. */
    void written() {}

    /** Whether its answer, which has not come whole, is of no use any more. */
    boolean outlived(long time) {
        return false;
    }

    abstract void answered(HttpParser answer);

    /** No answer will come. */
    abstract void broken(boolean neverRan);
}
